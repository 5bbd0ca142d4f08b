package usage

import (
	"sync"
	"sync/atomic"
	"time"

	"corianderwing"
	"corianderwing/core/wall"
)

// Recorder counts the requests of an entry instance in windows of wall-clock time. It
// counts nothing until a control instance has told the length of the windows. The
// zero value is ready to use and safe for concurrent use.
type Recorder struct {
	tally  Tally
	length atomic.Int64 // of a window, in nanoseconds; 0 if nothing is counted
	offset atomic.Int64 // wall.Offset of the estimated wall-clock time

	mu        sync.Mutex
	clock     wall.Clock
	reference wall.Offset // according to the control instance
	compared  bool        // reference is known
}

// Sample is a time that a control instance sent, and what is known of its age.
type Sample struct {
	Wall           time.Time // estimated wall-clock time at the control instance
	Sent, Received time.Time // of the request and its response, on the boot clock
}

// maxSampleTime is the longest round trip after which a Sample is used. The error of
// its time is half of the round trip.
const maxSampleTime = 500 * time.Millisecond

// Enabled reports whether requests are counted.
func (r *Recorder) Enabled() bool { return r.length.Load() > 0 }

// Sent counts a request of a workspace that is sent to an upstream at a time on the
// boot clock, and returns its window. It returns false if requests are not counted.
func (r *Recorder) Sent(id corianderwing.WorkspaceID, boot time.Time) (w Window, ok bool) {
	length := time.Duration(r.length.Load())
	if length <= 0 {
		return 0, false
	}
	w = At(wall.Offset(r.offset.Load()).At(boot), length)
	r.tally.Sent(w, id)
	return w, true
}

// Refused takes back a request that was counted as sent in a window.
func (r *Recorder) Refused(w Window, id corianderwing.WorkspaceID) { r.tally.Refused(w, id) }

// Observe records the time on the wall clock and the boot clock. It returns the
// wall-clock time without the jumps of the clock, uncorrected by other instances.
func (r *Recorder) Observe(now, boot time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clock.Observe(now, boot)
	r.setOffset()
	return r.clock.Offset().At(boot)
}

// setOffset updates the estimated wall-clock time. Until it has been compared with that
// of a control instance, it is the instance's own. The caller must hold r.mu.
func (r *Recorder) setOffset() {
	offset := r.clock.Offset()
	if r.compared {
		offset = wall.Correct(offset, r.reference)
	}
	r.offset.Store(int64(offset))
}

// Correction returns the difference between the estimated wall-clock time and that of
// the wall clock, or 0 if it is small.
func (r *Recorder) Correction() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Correction(wall.Offset(r.offset.Load()))
}

// Configure sets the length of the windows, 0 for no counting, and compares the time
// with that of a control instance. Counts in windows of another length are dropped.
func (r *Recorder) Configure(length time.Duration, s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if took := s.Received.Sub(s.Sent); length > 0 && took <= maxSampleTime {
		r.reference, r.compared = wall.OffsetOf(s.Wall.Add(took/2), s.Received), true
		r.setOffset()
	}
	if r.length.Swap(int64(length)) != int64(length) {
		r.tally.clear()
	}
}

// Report returns the counts that a control instance has not acknowledged. For
// another control instance than the last one these are all counts.
func (r *Recorder) Report(addr string) []WindowCounts {
	if !r.Enabled() {
		return nil
	}
	return r.tally.Report(addr)
}

// Pending returns the number of counts that the last control instance has not
// acknowledged.
func (r *Recorder) Pending() int { return r.tally.pending() }

// Acknowledge records that a control instance has a report.
func (r *Recorder) Acknowledge(from Receiver, report []WindowCounts) {
	r.tally.Acknowledge(from, report)
}
