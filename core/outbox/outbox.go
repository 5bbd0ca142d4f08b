// Package outbox holds the usage reports that were recorded in the replicated state and
// not acknowledged by the receiver yet. A report is recorded once, before it is first
// sent, and never changes: each repeat of it has the same counts.
package outbox

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"corianderwing"
	"corianderwing/core/usage"
)

const (
	// MaxPending is the number of windows that wait for the receiver. It is below the
	// number of windows for which counts are kept.
	MaxPending = 10
	// maxCount is the largest count that every JSON decoder reads exactly.
	maxCount = 1<<53 - 1
)

// Report is the counts of one window.
type Report struct {
	Window usage.Window                         `json:"window"`
	Counts map[corianderwing.WorkspaceID]uint64 `json:"counts"`
}

// Sum returns the number of requests in the report.
func (r Report) Sum() (sum uint64) {
	for _, n := range r.Counts {
		sum += n
	}
	return sum
}

// Box is the reports that wait for the receiver. It is immutable; the zero value has
// recorded nothing and does not know its first window.
type Box struct {
	Next    usage.Window `json:"next"` // the first window that is not recorded
	Pending []Report     `json:"pending,omitempty"`
}

// Decode decodes a box that Encode returned. Empty data is the zero Box.
func Decode(data []byte) (Box, error) {
	var b Box
	if len(data) == 0 {
		return b, nil
	}
	if err := cbor.Unmarshal(data, &b); err != nil {
		return Box{}, fmt.Errorf("decode outbox: %w", err)
	}
	return b, nil
}

// Encode returns the binary encoding of the box.
func (b Box) Encode() ([]byte, error) { return cbor.Marshal(b) }

// Start returns the box with its first window, if it has none: the oldest recent
// window with counts, or else the current one.
func (b Box) Start(current usage.Window, withCounts []usage.Window) Box {
	if b.Next != 0 {
		return b
	}
	b.Next = current
	for _, w := range withCounts {
		if w > current-MaxPending {
			b.Next = min(b.Next, w)
		}
	}
	return b
}

// Acknowledge returns the box without the windows up to w.
func (b Box) Acknowledge(w usage.Window) Box {
	b.Pending = slices.DeleteFunc(slices.Clone(b.Pending), func(r Report) bool { return r.Window <= w })
	return b
}

// Schedule says when windows are recorded.
type Schedule struct {
	Length time.Duration // of a window
	Settle time.Duration // from the end of a window until its counts are recorded
}

// Ripe reports whether the counts of a window should be recorded.
func (s Schedule) Ripe(w usage.Window, now time.Time) bool {
	return !now.Before(w.End(s.Length).Add(s.Settle))
}

// Span is consecutive windows.
type Span struct{ First, Last usage.Window }

// Len returns the number of windows.
func (s Span) Len() int { return int(s.Last - s.First + 1) }

// Outcome is what Record did besides recording.
type Outcome struct {
	GivenUp []Span                                     // windows that are too old, recorded or not
	Clamped map[corianderwing.WorkspaceID]usage.Window // workspaces whose count was reduced to the largest possible one
}

// Record returns the box after all ripe windows were recorded, with the given counts.
// If that makes more than MaxPending windows, it gives up the oldest. now is true
// time.
func (b Box) Record(s Schedule, now time.Time, totals func(usage.Window) map[corianderwing.WorkspaceID]uint64) (Box, Outcome) {
	var out Outcome
	if oldest := usage.At(now, s.Length) - MaxPending; b.Next < oldest {
		// The counts of these windows are no longer complete.
		out.GivenUp = append(out.GivenUp, Span{b.Next, oldest - 1})
		b.Next = oldest
	}
	b.Pending = slices.Clone(b.Pending)
	for s.Ripe(b.Next, now) {
		b.Pending = append(b.Pending, Report{b.Next, clamp(totals(b.Next), b.Next, &out)})
		b.Next++
	}
	if extra := len(b.Pending) - MaxPending; extra > 0 {
		out.GivenUp = append(out.GivenUp, Span{b.Pending[0].Window, b.Pending[extra-1].Window})
		b.Pending = b.Pending[extra:]
	}
	return b, out
}

// clamp returns the counts, none above maxCount.
func clamp(counts map[corianderwing.WorkspaceID]uint64, w usage.Window, out *Outcome) map[corianderwing.WorkspaceID]uint64 {
	limited := make(map[corianderwing.WorkspaceID]uint64, len(counts))
	for id, n := range counts {
		if n > maxCount {
			if out.Clamped == nil {
				out.Clamped = map[corianderwing.WorkspaceID]usage.Window{}
			}
			out.Clamped[id] = w
			n = maxCount
		}
		limited[id] = n
	}
	return limited
}
