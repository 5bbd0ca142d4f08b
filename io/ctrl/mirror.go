package ctrl

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"corianderwing"
	"corianderwing/core/state"
	"corianderwing/io/clock"
)

// Mirror maintains a local copy of every group's settings for operators. Its reads
// are linearizable: each one first gets the current revision from the leader.
type Mirror struct {
	client *Client
	views  map[corianderwing.GroupID]*mirroredGroup
}

type mirroredGroup struct {
	view    atomic.Pointer[state.View]
	mu      sync.Mutex
	changed chan struct{} // closed and replaced after each update
}

// readTimeout bounds an operator's read. It is long enough to cover an election.
const readTimeout = 3 * time.Second

// NewMirror returns a Mirror. It receives no updates until Run is called.
func NewMirror(c *Client) *Mirror {
	m := &Mirror{client: c, views: map[corianderwing.GroupID]*mirroredGroup{}}
	for _, g := range c.Groups() {
		v := &mirroredGroup{changed: make(chan struct{})}
		v.view.Store(state.NewView(g))
		m.views[g] = v
	}
	return m
}

// Run watches all groups until ctx is done.
func (m *Mirror) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for g, v := range m.views {
		wg.Go(func() {
			for ctx.Err() == nil {
				// Resume a watch that has ended after the last revision received.
				_ = m.client.Watch(ctx, g, v.view.Load().Revision(), v.update)
				clock.Sleep(ctx, 2*retryDelay)
			}
		})
	}
	wg.Wait()
}

func (v *mirroredGroup) update(u corianderwing.Update) error {
	next, err := v.view.Load().Update(u)
	if errors.Is(err, state.ErrStale) {
		return nil
	}
	if err != nil {
		return err
	}
	v.view.Store(next)
	v.mu.Lock()
	defer v.mu.Unlock()
	close(v.changed)
	v.changed = make(chan struct{})
	return nil
}

// Groups returns every group of the fleet.
func (m *Mirror) Groups() []corianderwing.GroupID { return m.client.Groups() }

// Home returns the home group of a workspace according to the local copy.
func (m *Mirror) Home(w corianderwing.WorkspaceID) (corianderwing.GroupID, bool) {
	for _, g := range m.client.Groups() {
		if m.views[g].view.Load().HasWorkspace(w) {
			return g, true
		}
	}
	return "", false
}

// View returns the view of a group with at least the revision that its leader
// had when View was called.
func (m *Mirror) View(g corianderwing.GroupID) (*state.View, error) {
	v, ok := m.views[g]
	if !ok {
		return nil, corianderwing.Errorf(corianderwing.NotFound, "group %q is not in the settings", g)
	}
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	leader, err := m.client.LeaderStatus(ctx, g)
	if err != nil {
		return nil, corianderwing.Errorf(corianderwing.NoLeader, "read of group %s: %v", g, err)
	}
	for {
		v.mu.Lock()
		changed := v.changed
		v.mu.Unlock()
		view := v.view.Load()
		if view.Revision() >= leader.Revision {
			return view, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, corianderwing.Errorf(corianderwing.StaleSettings, "group %s has revision %d, this instance %d", g, leader.Revision, view.Revision())
		}
	}
}

// Propose proposes a command to a group and waits until it is committed.
func (m *Mirror) Propose(ctx context.Context, g corianderwing.GroupID, c corianderwing.Command) (corianderwing.Result, error) {
	return m.client.Propose(ctx, g, c)
}

// Watch streams a group's updates after a revision to f.
func (m *Mirror) Watch(ctx context.Context, g corianderwing.GroupID, after corianderwing.Revision, f func(corianderwing.Update) error) error {
	return m.client.Watch(ctx, g, after, f)
}

// LeaderStatus returns the status of a group from its leader.
func (m *Mirror) LeaderStatus(g corianderwing.GroupID) (LeaderStatus, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	return m.client.LeaderStatus(ctx, g)
}
