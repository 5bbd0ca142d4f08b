package alloc

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/io/clock"
)

// leaseTest is an Allocator without a running Run, so that nothing checks the lease but
// the call under test. Its only upstream is cold and has one slot.
type leaseTest struct {
	*testing.T
	a *Allocator
}

// refill is longer than the cold upstream of a leaseTest takes to bear another request.
const refill = 60 * time.Millisecond

// newLeaseTest returns a leaseTest whose lease lasts for an hour.
func newLeaseTest(t *testing.T) *leaseTest {
	t.Helper()
	view := model.New()
	for _, c := range []*model.Command{
		{Edit: &corianderwing.Edit{Pools: []corianderwing.Pool{{Name: "files", Version: 1, MaxConns: 100, Protocol: "h1", Warmup: 3000, WarmupRate: 20}}}},
		{Announce: []model.Announcement{{
			Upstream: corianderwing.Upstream{
				ID: "i-1", Incarnation: 1, Pool: "files", Version: "v1", Domain: "a", Addr: "127.0.0.1:1", Slots: 1, Phase: corianderwing.Ready,
			},
			WarmupRemaining: 60_000,
		}}},
	} {
		next, err := view.Apply(c, time.Now())
		if err != nil {
			t.Fatal(err)
		}
		view = next
	}
	l := &leaseTest{T: t}
	l.a = New(Config{Domain: "a", RegionOf: func(corianderwing.DomainID) corianderwing.RegionID { return "r" }})
	l.a.Sync(view, SyncParams{Allocators: 1, ColdUntil: clock.Boot().Add(time.Hour)})
	return l
}

// submit submits a request that can wait for long.
func (l *leaseTest) submit() *PendingRequest {
	l.Helper()
	now := time.Now()
	w, err := l.a.Submit("files", place.Request{Class: "r-1", NoForward: true, Goal: now.Add(time.Minute), Deadline: now.Add(time.Minute)})
	if err != nil {
		l.Fatal(err)
	}
	return w
}

// submitBeyondBurst submits requests until one waits, and returns this one.
func (l *leaseTest) submitBeyondBurst() *PendingRequest {
	l.Helper()
	w := l.submit()
	for ; l.isGranted(w); w = l.submit() {
		l.a.Release("files", place.Outcome{ID: w.ID, Result: place.Succeeded})
	}
	return w
}

// isGranted reports whether a request has a slot by now.
func (l *leaseTest) isGranted(w *PendingRequest) bool {
	select {
	case e := <-w.effect:
		return e.Grant.Upstream != nil
	default:
		return false
	}
}

// endLease moves the end of the lease into the past, as a suspension of the machine does.
func (l *leaseTest) endLease() {
	l.a.mu.Lock()
	defer l.a.mu.Unlock()
	l.a.coldUntil = clock.Boot().Add(-time.Millisecond)
}

// Guards against requests to a cold upstream by an allocator whose lease has ended, of
// which no tick and no change of the state told it: the process may have been suspended.
func TestNoColdGrantAfterLease(t *testing.T) {
	for _, c := range []struct {
		name string
		// next returns a request that the call under test may grant, and the call.
		next func(*leaseTest) (*PendingRequest, func())
	}{
		{"submit", func(l *leaseTest) (*PendingRequest, func()) {
			w := &PendingRequest{}
			return w, func() { *w = *l.submit() }
		}},
		{"tick", func(l *leaseTest) (*PendingRequest, func()) {
			return l.submitBeyondBurst(), func() { l.a.tick(time.Now()) }
		}},
		{"release", func(l *leaseTest) (*PendingRequest, func()) {
			first := l.submit()
			is.New(l).True(l.isGranted(first))
			return l.submit(), func() { l.a.Release("files", place.Outcome{ID: first.ID, Result: place.Succeeded}) }
		}},
		{"cancel", func(l *leaseTest) (*PendingRequest, func()) {
			first := l.submit() // granted, and canceled before the caller learns of it
			return l.submit(), func() { l.a.Cancel(first) }
		}},
	} {
		for _, valid := range []bool{true, false} {
			t.Run(c.name, func(t *testing.T) {
				is := is.New(t)
				l := newLeaseTest(t)
				w, call := c.next(l)
				time.Sleep(refill)
				if !valid {
					l.endLease()
				}
				call()
				is.Equal(l.isGranted(w), valid)
			})
		}
	}
}
