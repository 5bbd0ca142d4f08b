// Package slope measures how the costs of the product grow. Each measurement
// runs at three sizes or more, in this process, with messages over loopback
// gRPC where messages matter, and is fitted with a line. docs/CAPACITY.md
// extrapolates from these lines.
package slope

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"corianderwing/io/clock"
)

// Point is one measurement: the cost Y at the size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is one cost at several sizes.
type Series struct {
	Role   string  `json:"role"`
	Cost   string  `json:"cost"`
	Unit   string  `json:"unit"`  // of the cost
	Per    string  `json:"per"`   // what the size counts
	Basis  string  `json:"basis"` // what was measured, and what was not
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
}

// Result is what one run measured.
type Result struct {
	Commit string   `json:"commit"` // "+dirty" is appended for a changed tree
	Go     string   `json:"go"`
	Cores  int      `json:"cores"`
	Start  string   `json:"start"` // RFC 3339
	Took   float64  `json:"took"`  // seconds
	Load   string   `json:"load"`  // the machine's load averages at the start
	Series []Series `json:"series"`
}

// Sizes are the sizes of a run.
type Sizes struct {
	Renewers   []int         // instances that renew with one leader
	Active     []int         // workspaces that each renewal reports on
	Followers  []int         // agents that follow one group
	Groups     []int         // groups that each agent follows
	Agents     int           // agents of the measurement against Groups
	Instances  []int         // instances that gossip
	Upstreams  []int         // upstreams, at the smallest of Instances
	Items      []int         // workspaces, routes, keys, orders
	Entries    []int         // of a log
	Blocks     []int         // client blocks
	Changes    int           // per size of Followers
	Concurrent []int         // proposals under way at the same time
	Window     time.Duration // of each measurement of a rate
	Settle     time.Duration // after agents have their seats; a new leader is quiet for 3 s
}

// Default returns the sizes of docs/CAPACITY.md. A run takes about three
// and a half minutes.
func Default() Sizes {
	return Sizes{
		Renewers:   []int{50, 100, 200, 300},
		Active:     []int{0, 50, 100, 200},
		Followers:  []int{50, 100, 200},
		Groups:     []int{1, 2, 4, 8},
		Agents:     20,
		Instances:  []int{12, 25, 50, 100, 200},
		Upstreams:  []int{0, 100, 200, 400},
		Items:      []int{200, 400, 800},
		Entries:    []int{500, 1000, 2000, 4000},
		Blocks:     []int{142_500, 285_000, 570_000},
		Changes:    10,
		Concurrent: []int{1, 4, 16},
		Window:     4 * time.Second,
		Settle:     4 * time.Second,
	}
}

// Run makes all measurements. Dir is an empty directory for files. Progress is
// told the name of each measurement before it starts.
func Run(ctx context.Context, s Sizes, dir string, progress func(string)) (*Result, error) {
	start := time.Now()
	r := &Result{Commit: commit(), Go: runtime.Version(), Cores: runtime.NumCPU(), Start: start.UTC().Format(time.RFC3339), Load: load()}
	steps := []struct {
		name string
		run  func(context.Context, Sizes, string) ([]Series, error)
	}{
		{"lookups", lookups},
		{"state", states},
		{"log", logs},
		{"gossip", gossip},
		{"leader", leaders},
		{"distribution", distribution},
		{"groups", groupCosts},
	}
	for _, step := range steps {
		progress(step.name)
		all, err := step.run(ctx, s, dir)
		if err != nil {
			return nil, eris.Wrapf(err, "measure %s", step.name)
		}
		for i := range all {
			if all[i].Fit, err = Line(all[i].Points); err != nil {
				return nil, eris.Wrapf(err, "fit %s, %s", all[i].Role, all[i].Cost)
			}
		}
		r.Series = append(r.Series, all...)
	}
	r.Took = time.Since(start).Seconds()
	return r, nil
}

// Text returns the table that docs/CAPACITY.md quotes, in Markdown.
func (r *Result) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "commit %s, %s, %d cores, load %s, start %s, took %.0f s\n\n", r.Commit, r.Go, r.Cores, r.Load, r.Start, r.Took)
	b.WriteString("| role | cost | per | slope | intercept | residual | unit | points |\n|---|---|---|---|---|---|---|---|\n")
	for _, s := range r.Series {
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%g: %.4g", p.X, p.Y))
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %.4g | %.4g | %.2g | %s | %s |\n",
			s.Role, s.Cost, s.Per, s.Fit.Slope, s.Fit.Intercept, s.Fit.Residual, s.Unit, strings.Join(points, ", "))
	}
	b.WriteString("\nWhat was measured:\n\n")
	last := ""
	for _, s := range r.Series {
		if s.Basis != last {
			fmt.Fprintf(&b, "- %s, %s: %s\n", s.Role, s.Cost, s.Basis)
		}
		last = s.Basis
	}
	return b.String()
}

func commit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	c := "unknown"
	dirty := false
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			c = s.Value[:min(12, len(s.Value))]
		case "vcs.modified":
			dirty = s.Value == "true"
		}
	}
	if dirty {
		c += "+dirty"
	}
	return c
}

func load() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(data))[:3], " ")
}

// cpu returns the CPU time that this process has used.
func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the bytes of live objects.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func pause(ctx context.Context, d time.Duration) error {
	if !clock.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}
