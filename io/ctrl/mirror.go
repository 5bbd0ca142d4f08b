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

// Mirror follows the settings of every group for operators. Its reads are
// linearizable: they ask the leader for its revision first.
type Mirror struct {
	client *Client
	views  map[corianderwing.GroupID]*mirroredGroup
}

type mirroredGroup struct {
	view    atomic.Pointer[state.View]
	mu      sync.Mutex
	changed chan struct{} // closed and replaced after each update
}

// readTimeout bounds a read by operators. It covers an election.
const readTimeout = 3 * time.Second

// NewMirror returns a mirror that follows nothing before Run.
func NewMirror(c *Client) *Mirror {
	m := &Mirror{client: c, views: map[corianderwing.GroupID]*mirroredGroup{}}
	for _, g := range c.Groups() {
		v := &mirroredGroup{changed: make(chan struct{})}
		v.view.Store(state.NewView(g))
		m.views[g] = v
	}
	return m
}

// Run follows all groups until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for g, v := range m.views {
		wg.Go(func() {
			for ctx.Err() == nil {
				// A watch that ends is opened again after the revision reached.
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

// Home returns the home group of a workspace, as far as the mirror knows.
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

// Propose commits a command in a group.
func (m *Mirror) Propose(ctx context.Context, g corianderwing.GroupID, c corianderwing.Command) (corianderwing.Result, error) {
	return m.client.Propose(ctx, g, c)
}

// Watch follows a group's updates after a revision.
func (m *Mirror) Watch(ctx context.Context, g corianderwing.GroupID, after corianderwing.Revision, f func(corianderwing.Update) error) error {
	return m.client.Watch(ctx, g, after, f)
}

// LeaderStatus returns what the leader of a group knows.
func (m *Mirror) LeaderStatus(g corianderwing.GroupID) (LeaderStatus, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	return m.client.LeaderStatus(ctx, g)
}
