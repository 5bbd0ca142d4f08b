package load

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Text returns the result as tables. Times are in milliseconds.
func (r *Result) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "scenario=%s seed=%d seconds=%g planned=%d sent=%d lag=%sms unsent=%d\n",
		r.Scenario, r.Seed, r.Seconds, r.Planned, r.Sent, ms(r.Lag), r.Codes[string(notSent)])
	table(&b, "workspace", append(slices.Clone(r.Workspaces), r.Total))
	table(&b, "kind", r.Kinds)
	for _, name := range slices.Sorted(maps.Keys(r.Codes)) {
		fmt.Fprintf(&b, "%s=%d ", name, r.Codes[name])
	}
	fmt.Fprintf(&b, "\nserved worst=%.4f best=%.4f\n", r.Worst, r.Best)
	b.WriteString(r.Orders.text())
	u := r.Upstreams
	fmt.Fprintf(&b, "upstreams asked=%d silent=%d started=%d cut=%d shed=%d keys=%d over=%d\n",
		u.Asked, u.Silent, u.Started, u.Cut, u.Shed, u.Keys, u.Over)
	return b.String()
}

func table(b *strings.Builder, title string, rows []Row) {
	w := tabwriter.NewWriter(b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "%s\trate\tsent\tgood\trefused\tfailed\twrongful\tturned\tover\tserved\tp50\tp90\tp99\tp999\tmax\t\n", title)
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%g\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.4f\t%s\t%s\t%s\t%s\t%s\t\n",
			r.Name, r.Rate, r.Sent, r.Good, r.Refused, r.Failed, r.Wrongful, r.Turned, r.Over, r.Served,
			ms(r.P50), ms(r.P90), ms(r.P99), ms(r.P999), ms(r.Max))
	}
	_ = w.Flush() // a strings.Builder takes everything
}

func ms(micros int64) string { return fmt.Sprintf("%.1f", float64(micros)/1000) }

// Write writes the result as JSON.
func (r *Result) Write(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

// ReadResult reads what Write wrote.
func ReadResult(path string) (*Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	r := &Result{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("result %s: %w", path, err)
	}
	return r, nil
}

// Compare returns a table of two results with the change of each figure. It
// says so if they are not of the same plan.
func Compare(before, after *Result) string {
	var b strings.Builder
	if before.Scenario != after.Scenario || before.Seed != after.Seed || before.Planned != after.Planned {
		fmt.Fprintf(&b, "different plans: %s seed %d with %d requests, %s seed %d with %d requests\n",
			before.Scenario, before.Seed, before.Planned, after.Scenario, after.Seed, after.Planned)
	}
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "name\tfigure\tbefore\tafter\tchange\t\n")
	compareRow(w, before.Total, after.Total)
	compareRows(w, before.Workspaces, after.Workspaces)
	compareRows(w, before.Kinds, after.Kinds)
	line(w, "served", "worst", before.Worst, after.Worst)
	line(w, "served", "best", before.Best, after.Best)
	line(w, "orders", "doubled", float64(before.Orders.Doubled), float64(after.Orders.Doubled))
	line(w, "orders", "untrue", float64(before.Orders.Untrue), float64(after.Orders.Untrue))
	line(w, "orders", "missing", float64(before.Orders.Missing), float64(after.Orders.Missing))
	line(w, "upstreams", "keys", float64(before.Upstreams.Keys), float64(after.Upstreams.Keys))
	line(w, "upstreams", "over", float64(before.Upstreams.Over), float64(after.Upstreams.Over))
	_ = w.Flush() // a strings.Builder takes everything
	return b.String()
}

func compareRows(w *tabwriter.Writer, before, after []Row) {
	for _, x := range before {
		i := slices.IndexFunc(after, func(y Row) bool { return y.Name == x.Name })
		if i >= 0 {
			compareRow(w, x, after[i])
		}
	}
}

func compareRow(w *tabwriter.Writer, x, y Row) {
	line(w, x.Name, "good", float64(x.Good), float64(y.Good))
	line(w, x.Name, "refused", float64(x.Refused), float64(y.Refused))
	line(w, x.Name, "failed", float64(x.Failed), float64(y.Failed))
	line(w, x.Name, "wrongful", float64(x.Wrongful), float64(y.Wrongful))
	line(w, x.Name, "over", x.Over, y.Over)
	line(w, x.Name, "p50", float64(x.P50)/1000, float64(y.P50)/1000)
	line(w, x.Name, "p99", float64(x.P99)/1000, float64(y.P99)/1000)
	line(w, x.Name, "p999", float64(x.P999)/1000, float64(y.P999)/1000)
}

// line writes one figure, unless it is 0 in both results.
func line(w *tabwriter.Writer, name, figure string, before, after float64) {
	if before == 0 && after == 0 {
		return
	}
	change := "new"
	if before != 0 {
		change = fmt.Sprintf("%+.1f%%", 100*(after-before)/before)
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t\n", name, figure, number(before), number(after), change)
}

// number writes counts as whole numbers and the rest with four decimals.
func number(v float64) string {
	if v == math.Trunc(v) {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'f', 4, 64)
}

// Broken lists the invariants that the run shows to be broken.
func (r *Result) Broken() []string {
	var all []string
	add := func(broken bool, text string) {
		if broken {
			all = append(all, text)
		}
	}
	add(r.Upstreams.Keys > 0, fmt.Sprintf("I4: upstreams saw %d keys", r.Upstreams.Keys))
	for _, w := range r.Workspaces {
		add(w.Over >= 1, fmt.Sprintf("I6: %s exceeded its rate and burst by %.1f requests", w.Name, w.Over))
	}
	add(r.Codes[string(foreign)] > 0, fmt.Sprintf("I8: %d answers to other requests", r.Codes[string(foreign)]))
	add(r.Orders.Untrue > 0, fmt.Sprintf("I9: %d orders ran although refused as not run", r.Orders.Untrue))
	add(r.Orders.Doubled > 0, fmt.Sprintf("I10: %d orders ran more than once", r.Orders.Doubled))
	add(r.Upstreams.Over > 0, fmt.Sprintf("slots: %d upstreams had more requests than slots", r.Upstreams.Over))
	return all
}
