package group

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/raft"
	"corianderwing/io/store"
)

// memStore is a Store in memory. Each write takes delay, and fails once
// writeErr is set.
type memStore struct {
	mu       sync.Mutex
	stored   corianderwing.StoredState
	appends  int
	delay    time.Duration
	writeErr error
}

func (s *memStore) Load() (corianderwing.StoredState, error) { return s.stored, nil }
func (s *memStore) Close() error                             { return nil }

func (s *memStore) write(f func()) error {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeErr != nil {
		return s.writeErr
	}
	f()
	return nil
}

func (s *memStore) Append(list []corianderwing.Entry) error {
	if len(list) == 0 {
		return nil
	}
	return s.write(func() {
		s.appends++
		s.stored.Entries = mergeEntries(s.stored.Entries, list)
	})
}

func (s *memStore) SaveVote(v corianderwing.Vote) error {
	return s.write(func() { s.stored.Vote = v })
}

func (s *memStore) SaveSnapshot(snap corianderwing.Snapshot) error {
	return s.write(func() {
		for len(s.stored.Entries) > 0 && s.stored.Entries[0].Index <= snap.Index {
			s.stored.Entries = s.stored.Entries[1:]
		}
		s.stored.Snapshot = snap
	})
}

// counter is a StateMachine that adds up numbers.
type counter struct{ sum uint64 }

func (c *counter) Apply(_ corianderwing.Index, data []byte) []byte {
	c.sum += binary.BigEndian.Uint64(data)
	return binary.BigEndian.AppendUint64(nil, c.sum)
}

func (c *counter) Save() ([]byte, error) { return binary.BigEndian.AppendUint64(nil, c.sum), nil }
func (c *counter) Restore(b []byte) error {
	c.sum = binary.BigEndian.Uint64(b)
	return nil
}

func encodeNumber(v uint64) []byte { return binary.BigEndian.AppendUint64(nil, v) }

// network delivers messages after 1 ms, except to and from isolated replicas.
type network struct {
	mu       sync.Mutex
	groups   map[corianderwing.InstanceID]*Group
	isolated map[corianderwing.InstanceID]bool
}

func (n *network) Send(to corianderwing.InstanceID, m raft.Message) {
	time.AfterFunc(time.Millisecond, func() {
		n.mu.Lock()
		g := n.groups[to]
		lost := n.isolated[m.From] || n.isolated[to]
		n.mu.Unlock()
		if g != nil && !lost {
			g.Receive(m)
		}
	})
}

type cluster struct {
	t      *testing.T
	net    *network
	voters corianderwing.Membership
	stores map[corianderwing.InstanceID]*memStore
	sums   map[corianderwing.InstanceID]*counter
	opts   []Option
}

func newCluster(t *testing.T, n int, opts ...Option) *cluster {
	f := &cluster{t: t, opts: opts, net: &network{groups: map[corianderwing.InstanceID]*Group{}, isolated: map[corianderwing.InstanceID]bool{}},
		stores: map[corianderwing.InstanceID]*memStore{}, sums: map[corianderwing.InstanceID]*counter{}}
	for k := range n {
		f.voters.Voters = append(f.voters.Voters, corianderwing.InstanceID(fmt.Sprintf("c%d", k)))
	}
	for _, id := range f.voters.Voters {
		f.start(id)
	}
	t.Cleanup(func() {
		for _, g := range f.net.groups {
			g.Close()
		}
	})
	return f
}

func (f *cluster) start(id corianderwing.InstanceID) *Group {
	if f.stores[id] == nil {
		f.stores[id] = &memStore{}
	}
	f.sums[id] = &counter{}
	cfg := Config{Group: "north", Self: id, Voters: f.voters, Seed: 1, OnViolation: func(s string) { f.t.Error(s) }}
	g, err := Open(cfg, f.stores[id], f.sums[id], f.net, f.opts...)
	if err != nil {
		f.t.Fatal(err)
	}
	f.net.mu.Lock()
	f.net.groups[id] = g
	f.net.mu.Unlock()
	return g
}

// leader waits until a replica that is not isolated leads.
func (f *cluster) leader() *Group {
	for range 1000 {
		for id, g := range f.net.groups {
			if g.Status().Role == raft.Leader && !f.net.isolated[id] {
				return g
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatal("no leader after 10 s")
	return nil
}

// Guards against a group that does not elect a leader, commit or reply, and
// against a follower that accepts a proposal or a read.
func TestProposeAndConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCluster(t, 3)
		g := f.leader()
		ctx, end := context.WithTimeout(t.Context(), time.Second)
		defer end()
		for k := uint64(1); k <= 10; k++ {
			b, err := g.Propose(ctx, encodeNumber(1))
			is.NoErr(err)
			is.Equal(binary.BigEndian.Uint64(b), k)
		}
		_, err := g.Confirm(ctx)
		is.NoErr(err)
		for id, other := range f.net.groups {
			if other != g {
				_, err := other.Propose(ctx, encodeNumber(1))
				is.Equal(corianderwing.CodeOf(err), corianderwing.NoLeader)
				_, err = other.Confirm(ctx)
				is.Equal(corianderwing.CodeOf(err), corianderwing.NoLeader)
				is.Equal(f.sum(id), uint64(10))
			}
		}
	})
}

func (f *cluster) anyFollower(g *Group) corianderwing.InstanceID {
	for _, id := range f.voters.Voters {
		if id != g.cfg.Self {
			return id
		}
	}
	return ""
}

func (f *cluster) setIsolated(id corianderwing.InstanceID, off bool) {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	f.net.isolated[id] = off
}

// sum returns the state of a replica after all goroutines of the bubble block.
func (f *cluster) sum(id corianderwing.InstanceID) uint64 {
	synctest.Wait()
	return f.sums[id].sum
}

// Guards against a separate disk sync for each concurrent proposal.
func TestProposalsShareSyncs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCluster(t, 3)
		g := f.leader()
		store := f.stores[g.cfg.Self]
		for _, s := range f.stores {
			s.mu.Lock()
			s.delay = 10 * time.Millisecond
			s.mu.Unlock()
		}
		synctest.Wait()
		before := store.appends
		var wg sync.WaitGroup
		for range 500 {
			wg.Go(func() {
				_, err := g.Propose(t.Context(), encodeNumber(1))
				is.NoErr(err)
			})
		}
		wg.Wait()
		synctest.Wait()
		syncs := store.appends - before
		t.Logf("500 proposals took %d syncs", syncs)
		is.True(syncs <= 3)
	})
}

// Guards against an isolated leader that replies without a majority, against
// NoLeader for a proposal that may still be committed, and against uncommitted
// entries of the isolated leader that stay after it rejoins.
func TestIsolatedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCluster(t, 3)
		old := f.leader()
		f.setIsolated(old.cfg.Self, true)
		errs := make(chan error, 2)
		go func() {
			_, err := old.Propose(t.Context(), encodeNumber(100))
			errs <- err
		}()
		go func() {
			_, err := old.Confirm(t.Context())
			errs <- err
		}()
		got := []corianderwing.Code{corianderwing.CodeOf(<-errs), corianderwing.CodeOf(<-errs)}
		is.True(got[0] != got[1])
		is.True(got[0] == corianderwing.NoQuorum || got[1] == corianderwing.NoQuorum) // the proposal
		is.True(got[0] == corianderwing.NoLeader || got[1] == corianderwing.NoLeader) // the read

		now := f.leader()
		is.True(now != old)
		_, err := now.Propose(t.Context(), encodeNumber(1))
		is.NoErr(err)
		f.setIsolated(old.cfg.Self, false)
		time.Sleep(2 * time.Second)
		is.Equal(old.Status().Applied, now.Status().Applied)
		is.Equal(f.sum(old.cfg.Self), uint64(1))
	})
}

// Guards against a proposal that blocks past the deadline of its context.
func TestProposeDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCluster(t, 3)
		g := f.leader()
		f.setIsolated(g.cfg.Self, true)
		ctx, end := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer end()
		start := time.Now()
		_, err := g.Propose(ctx, encodeNumber(1))
		is.Equal(corianderwing.CodeOf(err), corianderwing.NoQuorum)
		is.Equal(time.Since(start), 200*time.Millisecond)
	})
}

// Guards against state lost in a restart, and against a replica that cannot
// catch up after the entries it lacks were compacted.
func TestSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCluster(t, 3, WithSnapshotEvery(10))
		g := f.leader()
		behind := f.anyFollower(g)
		f.setIsolated(behind, true)
		for range 1500 { // more than raft keeps before a snapshot
			_, err := g.Propose(t.Context(), encodeNumber(1))
			is.NoErr(err)
		}
		synctest.Wait()
		st := f.stores[g.cfg.Self].stored
		is.True(st.Snapshot.Index >= 1490 && len(st.Entries) <= 12)
		f.setIsolated(behind, false)
		time.Sleep(3 * time.Second)
		is.Equal(f.sum(behind), uint64(1500))
		is.True(f.stores[behind].stored.Snapshot.Index >= 1490)

		for id, g := range f.net.groups {
			is.NoErr(g.Close())
			f.start(id)
		}
		g = f.leader()
		_, err := g.Confirm(t.Context())
		is.NoErr(err)
		is.Equal(f.sum(g.cfg.Self), uint64(1500))
	})
}

// Guards against a planned stop that leaves the group without a leader for an
// election timeout.
func TestTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var leaders sync.Map
		f := newCluster(t, 3, WithRoleChange(func(c raft.RoleChange) {
			if c.Role == raft.Leader {
				leaders.Store(c.Term, c.Leader)
			}
		}))
		g := f.leader()
		start := time.Now()
		is.NoErr(g.Transfer(t.Context()))
		now := f.leader()
		synctest.Wait()
		leader, _ := leaders.Load(g.Status().Term)
		is.Equal(leader, now.cfg.Self)
		t.Logf("the transfer took %v", time.Since(start))
		is.True(now != g)
		is.True(time.Since(start) < 100*time.Millisecond)
		_, err := g.Propose(t.Context(), encodeNumber(1))
		is.Equal(corianderwing.CodeOf(err), corianderwing.NoLeader)
		is.Equal(corianderwing.CodeOf(g.Transfer(t.Context())), corianderwing.NoLeader)
	})
}

// Guards against a group that cannot replace a member with a lost disk: the new
// identity joins as a learner, catches up and is promoted to voter in its place.
func TestReplaceLostDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCluster(t, 3, WithSnapshotEvery(50))
		g := f.leader()
		for range 100 {
			_, err := g.Propose(t.Context(), encodeNumber(1))
			is.NoErr(err)
		}
		lost := f.anyFollower(g)
		is.NoErr(f.net.groups[lost].Close())
		f.start("c9")
		is.NoErr(g.ChangeVoters(t.Context(), raft.MembershipChange{Op: raft.AddLearner, Instance: "c9"}))
		is.NoErr(g.ChangeVoters(t.Context(), raft.MembershipChange{Op: raft.Remove, Instance: lost}))
		err := g.ChangeVoters(t.Context(), raft.MembershipChange{Op: raft.Remove, Instance: "nobody"})
		is.Equal(corianderwing.CodeOf(err), corianderwing.InvalidChange)
		time.Sleep(time.Second)
		is.NoErr(g.ChangeVoters(t.Context(), raft.MembershipChange{Op: raft.Promote, Instance: "c9"}))
		is.True(len(g.Status().Voters.Voters) == 3 && len(g.Status().Voters.Learners) == 0)
		is.Equal(f.sum("c9"), uint64(100))

		// The new replica must count: without the old leader, it and the
		// third one are a majority.
		is.NoErr(g.Close())
		f.setIsolated(g.cfg.Self, true)
		time.Sleep(10 * time.Millisecond)
		f.net.mu.Lock()
		delete(f.net.groups, g.cfg.Self)
		delete(f.net.groups, lost)
		f.net.mu.Unlock()
		_, err = f.leader().Propose(t.Context(), encodeNumber(1))
		is.NoErr(err)
	})
}

// Guards against a replica that keeps running after a disk write failed, and
// against callers that block on it.
func TestDiskFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newCluster(t, 3)
		g := f.leader()
		broken := f.stores[g.cfg.Self]
		broken.mu.Lock()
		broken.writeErr = errors.New("no space left on device")
		broken.mu.Unlock()
		_, err := g.Propose(t.Context(), encodeNumber(1))
		is.Equal(corianderwing.CodeOf(err), corianderwing.NoQuorum)
		<-g.Done()
		is.True(errors.Is(g.Status().Err, broken.writeErr))
		_, err = g.Propose(t.Context(), encodeNumber(1))
		is.Equal(corianderwing.CodeOf(err), corianderwing.NoLeader)
		f.setIsolated(g.cfg.Self, true)
		_, err = f.leader().Propose(t.Context(), encodeNumber(1))
		is.NoErr(err)
	})
}

// Guards against state that is not restored from files on disk, against damage
// that Open does not report, and against a Wipe that leaves the damage behind.
func TestRealStore(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	cfg := Config{Group: "north", Self: "c1", Voters: corianderwing.Membership{Voters: []corianderwing.InstanceID{"c1"}}}
	open := func(wipe bool) (*Group, *counter, error) {
		s, err := store.OpenDir(dir)
		is.NoErr(err)
		if wipe {
			is.NoErr(s.Wipe())
		}
		c := &counter{}
		g, err := Open(cfg, s, c, &network{}, WithTiming(10*time.Millisecond, time.Millisecond), WithSnapshotEvery(7))
		if err != nil {
			is.NoErr(s.Close())
		}
		return g, c, err
	}
	propose := func(g *Group) {
		for g.Status().Role != raft.Leader {
			runtime.Gosched()
		}
		for range 20 {
			_, err := g.Propose(t.Context(), encodeNumber(1))
			is.NoErr(err)
		}
		is.NoErr(g.Close())
	}
	g, _, err := open(false)
	is.NoErr(err)
	propose(g)
	g, c, err := open(false)
	is.NoErr(err)
	propose(g)
	is.Equal(c.sum, uint64(40))

	is.NoErr(os.WriteFile(filepath.Join(dir, "vote"), []byte("damage"), 0o600))
	_, _, err = open(false)
	var damage *store.DamageError
	is.True(errors.As(err, &damage))
	g, c, err = open(true)
	is.NoErr(err)
	propose(g)
	is.Equal(c.sum, uint64(20))
}
