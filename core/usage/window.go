// Package usage counts the requests of workspaces that upstreams began to run, for
// each window of wall-clock time. Entry instances count in a Tally and report to
// control instances, which merge the reports in a Ledger.
//
// Reports are cumulative for each incarnation of an entry instance, so that a lost,
// repeated or reordered report does no harm.
package usage

import (
	"time"

	"corianderwing"
)

// Window is the number of a usage window: it begins Window times its length after
// the start of 1970.
type Window int64

// At returns the window of the given length that includes a time. The length must
// be positive.
func At(t time.Time, length time.Duration) Window {
	n := t.UnixNano()
	w := n / int64(length)
	if n%int64(length) < 0 {
		w--
	}
	return Window(w)
}

// End returns when a window of the given length ends.
func (w Window) End(length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length))
}

// maxWindows is the number of windows up to the current one that a Tally and a Ledger
// keep.
const maxWindows = 12

// keeps reports whether counts of a window are accepted during the current one. The next
// window is accepted too, because the clocks of instances differ slightly.
func keeps(w, current Window) bool {
	return w > current-maxWindows && w <= current+1
}

// isNear reports whether a window is less than maxWindows away from the current one.
func isNear(w, current Window) bool {
	return w > current-maxWindows && w < current+maxWindows
}

// Source is the incarnation of an entry instance that counted requests.
type Source struct {
	Instance    corianderwing.InstanceID  `json:"instance"`
	Incarnation corianderwing.Incarnation `json:"life"`
}

// Count is the number of requests of a workspace that a source sent to upstreams in
// a window, and how many of them did not run. Both only grow.
type Count struct {
	Workspace corianderwing.WorkspaceID `json:"workspace"`
	Sent      uint64                    `json:"sent"`
	Refused   uint64                    `json:"refused,omitempty"`
}

// WindowCounts contains counts of one source for one window. Workspaces may be
// missing from it; their counts have not changed.
type WindowCounts struct {
	Window Window  `json:"window"`
	Counts []Count `json:"counts"`
}

// Report contains counts of one source.
type Report struct {
	Source
	Windows []WindowCounts `json:"windows"`
}
