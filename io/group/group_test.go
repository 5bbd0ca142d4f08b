package group

import (
	"context"
	"encoding/binary"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/raft"
)

// memStore is a Store in memory. Each write takes delay, and fails once broken
// is set.
type memStore struct {
	mu      sync.Mutex
	stored  corianderwing.Stored
	appends int
	delay   time.Duration
	broken  error
}

func (s *memStore) Load() (corianderwing.Stored, error) { return s.stored, nil }
func (s *memStore) Close() error                        { return nil }

func (s *memStore) write(f func()) error {
	time.Sleep(s.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.broken != nil {
		return s.broken
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
		s.stored.Entries = merge(s.stored.Entries, list)
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

// counter is a Machine that adds up numbers.
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

func number(v uint64) []byte { return binary.BigEndian.AppendUint64(nil, v) }

// network delivers messages after 1 ms, except to and from replicas that are
// cut off.
type network struct {
	mu     sync.Mutex
	groups map[corianderwing.InstanceID]*Group
	cut    map[corianderwing.InstanceID]bool
}

func (n *network) Send(to corianderwing.InstanceID, m raft.Message) {
	time.AfterFunc(time.Millisecond, func() {
		n.mu.Lock()
		g := n.groups[to]
		lost := n.cut[m.From] || n.cut[to]
		n.mu.Unlock()
		if g != nil && !lost {
			g.Receive(m)
		}
	})
}

type fleet struct {
	t      *testing.T
	net    *network
	voters corianderwing.Voters
	stores map[corianderwing.InstanceID]*memStore
	sums   map[corianderwing.InstanceID]*counter
	opts   []Option
}

func newFleet(t *testing.T, n int, opts ...Option) *fleet {
	f := &fleet{t: t, opts: opts, net: &network{groups: map[corianderwing.InstanceID]*Group{}, cut: map[corianderwing.InstanceID]bool{}},
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

func (f *fleet) start(id corianderwing.InstanceID) *Group {
	if f.stores[id] == nil {
		f.stores[id] = &memStore{}
	}
	f.sums[id] = &counter{}
	cfg := Config{Group: "north", Self: id, Voters: f.voters, Seed: 1, Broken: func(s string) { f.t.Error(s) }}
	g, err := Open(cfg, f.stores[id], f.sums[id], f.net, f.opts...)
	if err != nil {
		f.t.Fatal(err)
	}
	f.net.mu.Lock()
	f.net.groups[id] = g
	f.net.mu.Unlock()
	return g
}

// leader waits until one replica that is not cut off leads.
func (f *fleet) leader() *Group {
	for range 1000 {
		for id, g := range f.net.groups {
			if g.Status().Role == raft.Leader && !f.net.cut[id] {
				return g
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatal("no leader after 10 s")
	return nil
}

// Guards against a group that does not elect, commit or answer at all.
func TestProposeAndConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3)
		g := f.leader()
		ctx, end := context.WithTimeout(t.Context(), time.Second)
		defer end()
		for k := uint64(1); k <= 10; k++ {
			b, err := g.Propose(ctx, number(1))
			is.NoErr(err)
			is.Equal(binary.BigEndian.Uint64(b), k)
		}
		_, err := g.Confirm(ctx)
		is.NoErr(err)
		for id, other := range f.net.groups {
			if other != g {
				_, err := other.Propose(ctx, number(1))
				is.Equal(corianderwing.CodeOf(err), corianderwing.NoLeader)
				_, err = other.Confirm(ctx)
				is.Equal(corianderwing.CodeOf(err), corianderwing.NoLeader)
				is.Equal(f.sums[id].sum, uint64(10))
			}
		}
	})
}
