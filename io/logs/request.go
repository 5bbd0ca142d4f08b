package logs

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one log line of an instance.
type Line struct {
	Time     time.Time      `json:"time"`
	Instance string         `json:"instance"`
	Message  string         `json:"message"`
	Fields   map[string]any `json:"fields"`
}

// timeFormat is the time format of the lines, without a time zone.
const timeFormat = "2006-01-02T15:04:05.000"

// contextBefore is how long before a request RequestLines includes lines of its
// instances. It is the longest time for which an instance may rely on a
// confirmed state, so it covers what led to the state the request met.
const contextBefore = 5 * time.Second

// RequestLines returns the lines of a request, oldest first, together with the
// lines without a request id that its instances logged during it and in the
// contextBefore before it. Text before the first brace of a line is skipped, and
// so are lines that are not log lines.
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

// UncleanExit is an instance that started again without logging that it had
// stopped.
type UncleanExit struct {
	Instance string    `json:"instance"`
	Last     time.Time `json:"last"` // time of its last line before the restart
}

// Messages that an instance logs when it starts and stops.
const (
	Started = "instance started"
	Stopped = "instance stopped"
)

// UncleanExits returns the unclean exits of instances. Requests that were in
// progress at that time have no line.
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

// startTime returns when the logged event began: the time of the line less its
// duration.
func (l *Line) startTime() time.Time {
	us, _ := l.Fields["us"].(float64)
	return l.Time.Add(-time.Duration(us) * time.Microsecond)
}

// maxLine is the maximum length of a line in bytes. A longer line is an error.
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
