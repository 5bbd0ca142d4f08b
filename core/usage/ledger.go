package usage

import (
	"maps"
	"math"
	"slices"
	"sync"

	"corianderwing"
)

// Ledger holds what entry instances reported for the last windows. It is safe for
// concurrent use.
type Ledger struct {
	mu      sync.Mutex
	windows map[Window]*ledgerWindow
	changes uint64 // number of merges that changed something
}

// ledgerWindow holds the counts of one window. Workspaces are numbered, so that a
// source takes a few bytes for each.
type ledgerWindow struct {
	numbers    map[corianderwing.WorkspaceID]int
	workspaces []corianderwing.WorkspaceID // by number
	sources    map[Source][]cell           // by number of the workspace
}

// cell is the count of one source for one workspace and window.
type cell struct {
	sent, refused uint64
	changed       uint64 // Ledger.changes when it last changed
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{windows: map[Window]*ledgerWindow{}} }

// Merge adds a report that arrives during the current window, and forgets old
// windows. It returns the number of reported windows that were ignored because they
// are too old or in the future.
func (l *Ledger) Merge(r Report, current Window) (ignored int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(current)
	l.changes++
	for _, w := range r.Windows {
		if !keeps(w.Window, current) {
			ignored++
			continue
		}
		if len(w.Counts) == 0 {
			continue
		}
		if l.windows[w.Window] == nil {
			l.windows[w.Window] = &ledgerWindow{
				numbers: map[corianderwing.WorkspaceID]int{},
				sources: map[Source][]cell{},
			}
		}
		l.windows[w.Window].merge(r.Source, w.Counts, l.changes)
	}
	return ignored
}

// forget removes the windows that are no longer kept, and those that are far in the
// future because they were accepted before the clock was corrected.
func (l *Ledger) forget(current Window) {
	maps.DeleteFunc(l.windows, func(w Window, _ *ledgerWindow) bool {
		return !isNear(w, current)
	})
}

// merge replaces the counts that have grown.
func (w *ledgerWindow) merge(s Source, list []Count, change uint64) {
	row := w.sources[s]
	for _, c := range list {
		n := w.number(c.Workspace)
		if n >= len(row) {
			row = slices.Grow(row, len(w.workspaces)-len(row))[:len(w.workspaces)]
		}
		old := row[n]
		next := cell{max(old.sent, c.Sent), max(old.refused, c.Refused), old.changed}
		if next != old {
			next.changed = change
			row[n] = next
		}
	}
	w.sources[s] = row
}

// number returns the number of a workspace, and assigns one to a new workspace.
func (w *ledgerWindow) number(id corianderwing.WorkspaceID) int {
	n, ok := w.numbers[id]
	if !ok {
		n = len(w.workspaces)
		w.numbers[id] = n
		w.workspaces = append(w.workspaces, id)
	}
	return n
}

// Totals returns the number of requests of each workspace that upstreams began to
// run in a window, as far as reported.
func (l *Ledger) Totals(w Window) map[corianderwing.WorkspaceID]uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	totals := map[corianderwing.WorkspaceID]uint64{}
	lw := l.windows[w]
	if lw == nil {
		return totals
	}
	for _, row := range lw.sources {
		for n, c := range row {
			if c.sent > c.refused {
				id := lw.workspaces[n]
				totals[id] = addSaturated(totals[id], c.sent-c.refused)
			}
		}
	}
	return totals
}

// addSaturated returns a + b, or the largest value if the sum overflows.
func addSaturated(a, b uint64) uint64 {
	if a > math.MaxUint64-b {
		return math.MaxUint64
	}
	return a + b
}

// Windows returns the windows with counts, oldest first.
func (l *Ledger) Windows() []Window {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Sorted(maps.Keys(l.windows))
}

// changesSince returns the reports of all sources with the counts of a window that
// changed after a point in the sequence of changes, and the number of these counts.
// The caller must hold l.mu.
func (l *Ledger) changesSince(point uint64, w Window) (reports []Report, n int) {
	lw := l.windows[w]
	for s, row := range lw.sources {
		var list []Count
		for i, c := range row {
			if c.changed > point {
				list = append(list, Count{lw.workspaces[i], c.sent, c.refused})
			}
		}
		if len(list) > 0 {
			n += len(list)
			reports = append(reports, Report{s, []WindowCounts{{w, list}}})
		}
	}
	return reports, n
}
