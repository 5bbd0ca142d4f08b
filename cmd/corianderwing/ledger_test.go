package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"corianderwing"
	"corianderwing/io/admin"
)

// ledger makes changes and keeps what was acknowledged.
type ledger struct {
	f    *processes
	base corianderwing.Revision // before the first change

	mu     sync.Mutex
	nodes  map[corianderwing.Path]corianderwing.Millis
	keys   map[corianderwing.KeyID]bool
	drains map[corianderwing.UpstreamID]bool
	made   []made
	goal   int           // changes after which writers wait
	moved  *sync.Cond    // told when goal or over changes
	over   bool          // writers end
	top    atomic.Uint64 // highest acknowledged revision
}

// made is an acknowledged change: again sends the same request again.
type made struct {
	revision corianderwing.Revision
	again    func(context.Context, *admin.Client) (admin.Accepted, error)
}

func newLedger(f *processes) *ledger {
	l := &ledger{
		f:      f,
		base:   f.seeded(),
		nodes:  map[corianderwing.Path]corianderwing.Millis{},
		keys:   map[corianderwing.KeyID]bool{},
		drains: map[corianderwing.UpstreamID]bool{},
	}
	l.moved = sync.NewCond(&l.mu)
	l.top.Store(uint64(l.base))
	return l
}

func (l *ledger) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.made)
}

func (l *ledger) note(a admin.Accepted, m made) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m.revision = a.Revision
	l.made = append(l.made, m)
	l.top.Store(max(l.top.Load(), uint64(a.Revision)))
}

// apply makes a change with send and notes it. Then expect, which is called with
// l.mu held, updates the state that is expected.
func (l *ledger) apply(ctx context.Context, c *admin.Client, send func(context.Context, *admin.Client) (admin.Accepted, error), expect func()) error {
	done, err := send(ctx, c)
	if err != nil {
		return err
	}
	l.note(done, made{again: send})
	l.mu.Lock()
	defer l.mu.Unlock()
	expect()
	return nil
}

// addKey adds one key.
func (l *ledger) addKey(ctx context.Context, c *admin.Client, id string) error {
	k := admin.AddKey{Change: admin.Change{Request: corianderwing.RequestID("add-" + id)}, Workspace: shop.Workspace, ID: corianderwing.KeyID(id)}
	send := func(ctx context.Context, c *admin.Client) (admin.Accepted, error) {
		done, err := c.AddKey(ctx, k)
		return done.Accepted, err
	}
	return l.apply(ctx, c, send, func() { l.keys[k.ID] = true })
}

// toggle drains an upstream, or ends its drain. Only one writer may do so for
// an upstream at a time.
func (l *ledger) toggle(ctx context.Context, c *admin.Client, id string, u corianderwing.UpstreamID) error {
	change := admin.Change{Request: corianderwing.RequestID("toggle-" + id)}
	l.mu.Lock()
	drained := l.drains[u]
	l.mu.Unlock()
	send := func(ctx context.Context, c *admin.Client) (admin.Accepted, error) {
		if drained {
			return c.Undrain(ctx, admin.EndDrain{Change: change, Upstream: u})
		}
		return c.Drain(ctx, admin.SetDrain{Change: change, Upstream: u})
	}
	return l.apply(ctx, c, send, func() { l.drains[u] = !drained })
}

// setNode creates a service. Only one writer may do so at a time.
func (l *ledger) setNode(ctx context.Context, c *admin.Client, id string, base corianderwing.Revision) (corianderwing.Revision, error) {
	slow := corianderwing.Millis(1000 + len(l.nodes))
	s := admin.SetNode{
		Change:   admin.Change{Base: &base, Request: corianderwing.RequestID("set-" + id)},
		Path:     corianderwing.Path{Workspace: shop.Workspace, Service: corianderwing.ServiceID(id)},
		Settings: &corianderwing.Settings{Slow: &slow},
	}
	send := func(ctx context.Context, c *admin.Client) (admin.Accepted, error) { return c.Set(ctx, s) }
	done, err := send(ctx, c)
	if err != nil {
		return 0, err
	}
	l.note(done, made{again: send})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes[s.Path] = slow
	return done.Revision, nil
}

// ahead is how many changes writers may make beyond what a test waits for, so
// that some are in flight when it goes on.
const ahead = 50

// next waits until another change is wanted, and reports whether to make it.
func (l *ledger) next() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for !l.over && len(l.made) >= l.goal {
		l.moved.Wait()
	}
	return !l.over
}

// advance lets writers go on to a number of changes, or ends them.
func (l *ledger) advance(goal int, over bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.goal, l.over = goal, over
	l.moved.Broadcast()
}

// write changes the settings from four operators, who begin with different
// control instances, until stop is called, as far as more allows. The first changes the tree, the
// others add keys and drain upstreams. Every change must be acknowledged in
// the end.
func (l *ledger) write() (stop func()) {
	var wg sync.WaitGroup
	round := l.count()
	l.advance(round+ahead, false)
	for w := range 4 {
		c := l.f.operator(w, false)
		wg.Go(func() {
			base := corianderwing.Revision(l.top.Load())
			for i := 0; l.next(); i++ {
				ctx, cancel := context.WithTimeout(context.Background(), patience)
				id := fmt.Sprintf("w%d-%d-%d", round, w, i)
				var err error
				switch {
				case w == 0:
					base, err = l.setNode(ctx, c, id, base)
				case i%3 == 0:
					err = l.addKey(ctx, c, id)
				default:
					err = l.toggle(ctx, c, id, corianderwing.UpstreamID(fmt.Sprintf("none-%d", w)))
				}
				cancel()
				if err != nil {
					l.f.t.Errorf("change %s: %v", id, err)
					return
				}
			}
		})
	}
	stop = sync.OnceFunc(func() { l.advance(0, true); wg.Wait() })
	l.f.t.Cleanup(stop)
	return stop
}

// more waits until n more changes are acknowledged.
func (l *ledger) more(n int) {
	l.f.t.Helper()
	target := l.count() + n
	l.advance(target+ahead, false)
	l.f.eventually(fmt.Sprintf("%d acknowledged changes", target), func() bool { return l.count() >= target || l.f.t.Failed() })
}

// verify compares what each named control instance answers with what was
// acknowledged. Each change raises the revision by one, so the revisions of
// acknowledged changes show one that is lost or applied twice.
func (l *ledger) verify(ids ...int) {
	l.f.t.Helper()
	var revisions []corianderwing.Revision
	for _, m := range l.made {
		revisions = append(revisions, m.revision)
	}
	slices.Sort(revisions)
	for i, r := range revisions {
		if want := l.base + corianderwing.Revision(i) + 1; r != want {
			l.f.t.Fatalf("change %d has revision %d, not %d", i, r, want)
		}
	}
	for _, id := range ids {
		l.verifyAt(id, l.base+corianderwing.Revision(len(l.made)))
	}
}

func (l *ledger) verifyAt(id int, want corianderwing.Revision) {
	l.f.t.Helper()
	ctx, cancel := context.WithTimeout(l.f.t.Context(), patience)
	defer cancel()
	name, c := l.f.Controls[id].ID, l.f.operator(id, true)
	keys, err := c.Keys(ctx, shop.Workspace)
	if err != nil {
		l.f.t.Fatalf("keys at %s: %v", name, err)
	}
	if keys.Revision != want || len(keys.Keys) != len(l.keys)+1 {
		l.f.t.Errorf("%s has revision %d and %d keys, not %d and %d", name, keys.Revision, len(keys.Keys), want, len(l.keys)+1)
	}
	for _, k := range keys.Keys {
		if !l.keys[k.ID] && k.ID != "shop-1" {
			l.f.t.Errorf("%s has key %s, which nobody added", name, k.ID)
		}
	}
	drains, err := c.Drains(ctx, "")
	if err != nil {
		l.f.t.Fatalf("drains at %s: %v", name, err)
	}
	drained := map[corianderwing.UpstreamID]bool{}
	for _, d := range drains.Drains {
		drained[d.Upstream] = true
	}
	for u, want := range l.drains {
		if drained[u] != want {
			l.f.t.Errorf("%s has the drain of %s: %v, not %v", name, u, drained[u], want)
		}
	}
	top, err := c.Node(ctx, "", shop)
	if err != nil {
		l.f.t.Fatalf("tree at %s: %v", name, err)
	}
	if len(top.Children) != len(l.nodes)+1 {
		l.f.t.Errorf("%s has %d services, not %d", name, len(top.Children), len(l.nodes)+1)
	}
	for path, slow := range l.nodes {
		n, err := c.Node(ctx, "", path)
		if err != nil || n.Settings.Slow == nil || *n.Settings.Slow != slow {
			l.f.t.Errorf("%s at %s: %v, %v", path, name, n.Settings, err)
		}
	}
}

// resend sends every nth acknowledged change again and expects its first
// answer.
func (l *ledger) resend(nth int) {
	l.f.t.Helper()
	ctx, cancel := context.WithTimeout(l.f.t.Context(), patience)
	defer cancel()
	for i := 0; i < len(l.made); i += nth {
		m := l.made[i]
		a, err := m.again(ctx, l.f.operator(i, false))
		if err != nil || !a.Duplicate || a.Revision != m.revision {
			l.f.t.Errorf("change of revision %d, sent again, got %+v, %v", m.revision, a, err)
		}
	}
}

// read reads the revision through every control instance until stop is
// called, and expects no revision below one that the instance showed or that
// was acknowledged before the read. It returns how many reads succeeded.
func (l *ledger) read(t *testing.T) (stop func() int64) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*patience)
	var wg sync.WaitGroup
	var reads atomic.Int64
	for i, p := range l.f.Controls {
		c := l.f.operator(i, true)
		wg.Go(func() {
			var last corianderwing.Revision
			for ctx.Err() == nil {
				floor := max(last, corianderwing.Revision(l.top.Load()))
				n, err := c.Node(ctx, "", shop)
				if err != nil {
					continue // the client tries until ctx ends, or the instance knows nothing yet
				}
				reads.Add(1)
				if n.Revision < floor {
					t.Errorf("%s showed revision %d after %d", p.ID, n.Revision, floor)
				}
				last = n.Revision
			}
		})
	}
	stop = func() int64 { cancel(); wg.Wait(); return reads.Load() }
	t.Cleanup(func() { stop() })
	return stop
}
