package logs

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one line of a log, as an instance wrote it.
type Line struct {
	Time     time.Time      `json:"time"`
	Instance string         `json:"instance"`
	Message  string         `json:"message"`
	Fields   map[string]any `json:"fields"`
}

// timeFormat is that of the lines.
const timeFormat = "2006-01-02T15:04:05.000"

// contextBefore is how long contextBefore a request what its instances came to believe belongs
// to its story: as long as a state may be relied on.
const contextBefore = 5 * time.Second

// RequestLines returns the lines of a request, oldest first, and what its instances
// logged of themselves shortly before and during it. What stands before the
// first brace of a line is skipped, and lines that are no log lines are too.
func RequestLines(id string, logs ...io.Reader) ([]Line, error) {
	var all []Line
	for _, r := range logs {
		list, err := readLines(r)
		if err != nil {
			return nil, err
		}
		all = append(all, list...)
	}
	var first, last time.Time
	instances := map[string]bool{}
	for _, l := range all {
		if l.Fields["request"] != id {
			continue
		}
		instances[l.Instance] = true
		if first.IsZero() || l.startTime().Before(first) {
			first = l.startTime()
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	lines := slices.DeleteFunc(all, func(l Line) bool {
		if request, ok := l.Fields["request"]; ok {
			return request != id
		}
		return !instances[l.Instance] || l.Time.Before(first.Add(-contextBefore)) || l.Time.After(last)
	})
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, nil
}

// UncleanExit is an instance that was started again without having stopped.
type UncleanExit struct {
	Instance string    `json:"instance"`
	Last     time.Time `json:"last"` // its last line before
}

// Messages of the lines at the start and the end of an instance.
const (
	Started = "instance started"
	Stopped = "instance stopped"
)

// UncleanExits returns the ends of instances that did not stop by themselves. What
// they worked on then has no line.
func UncleanExits(logs ...io.Reader) ([]UncleanExit, error) {
	var list []UncleanExit
	for _, r := range logs {
		lines, err := readLines(r)
		if err != nil {
			return nil, err
		}
		last := map[string]Line{}
		for _, l := range lines {
			if before, ok := last[l.Instance]; ok && l.Message == Started && before.Message != Stopped {
				list = append(list, UncleanExit{l.Instance, before.Time})
			}
			last[l.Instance] = l
		}
	}
	return list, nil
}

// startTime returns when what the line tells began.
func (l *Line) startTime() time.Time {
	us, _ := l.Fields["us"].(float64)
	return l.Time.Add(-time.Duration(us) * time.Microsecond)
}

// maxLine bounds a line. Longer ones end the reading with an error.
const maxLine = 1 << 20

func readLines(r io.Reader) ([]Line, error) {
	var list []Line
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLine)
	for s.Scan() {
		text := s.Text()
		i := strings.IndexByte(text, '{')
		if i < 0 {
			continue
		}
		fields := map[string]any{}
		if json.Unmarshal([]byte(text[i:]), &fields) != nil {
			continue
		}
		l := Line{Fields: fields}
		at, _ := fields["time"].(string)
		var err error
		if l.Time, err = time.Parse(timeFormat, at); err != nil {
			continue
		}
		l.Instance, _ = fields["instance"].(string)
		l.Message, _ = fields["message"].(string)
		for _, name := range []string{"time", "instance", "message", "level"} {
			delete(fields, name)
		}
		list = append(list, l)
	}
	return list, s.Err()
}
