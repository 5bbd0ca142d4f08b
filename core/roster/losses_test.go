package roster_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"corianderwing"
	"corianderwing/core/raft"
	"corianderwing/core/roster"
)

// Timing of the simulated site, as on kazi-chonga.
const (
	regionDelay = 35 * time.Millisecond // one way
	domainDelay = time.Millisecond
	syncTime    = 5 * time.Millisecond
	heartbeat   = 150 * time.Millisecond
	election    = 700 * time.Millisecond
	changeDelay = 20 * time.Millisecond
	rejoinAfter = 1500 * time.Millisecond
	catchUp     = 4 * time.Second // from the return of lost instances to the next losses
	down        = 100 * time.Millisecond
	losses      = 2
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// instance is one control instance. Each time it loses its disk, it comes back as
// another replica.
type instance struct {
	addr, region string
	lives        int
	id           corianderwing.InstanceID
	node         *raft.Node // nil while it is down
	disk         corianderwing.StoredState
	led          time.Time // when it last knew a leader
	lostAt       time.Time
}

type event struct {
	at time.Time
	do func()
}

// site runs control instances in virtual time, with the loop of io/quorum that
// changes the membership.
type site struct {
	t         *testing.T
	rng       *rand.Rand
	now       time.Time
	queue     []event
	instances []*instance
	founders  corianderwing.Membership
}

func newSite(t *testing.T, seed uint64) *site {
	s := &site{t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: epoch}
	for i := range 6 {
		in := &instance{addr: fmt.Sprint("10.0.0.", i), region: string(rune('a' + i%3))}
		in.id = corianderwing.InstanceID(in.addr + "/0")
		s.instances = append(s.instances, in)
	}
	for _, in := range s.instances[:3] {
		s.founders.Voters = append(s.founders.Voters, in.id)
	}
	for i, in := range s.instances {
		initial := s.founders
		if i >= 3 {
			initial = corianderwing.Membership{}
		}
		s.start(in, initial)
	}
	return s
}

func (s *site) after(d time.Duration, do func()) {
	s.queue = append(s.queue, event{s.now.Add(d), do})
	slices.SortStableFunc(s.queue, func(a, b event) int { return a.at.Compare(b.at) })
}

func (s *site) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := s.queue[0]
		s.queue = s.queue[1:]
		s.now = e.at
		e.do()
	}
	s.now = end
}

func (s *site) start(in *instance, initial corianderwing.Membership) {
	node, err := raft.New(raft.Config{
		Group: "g", Self: in.id, InitialMembership: initial, Seed: s.rng.Uint64(),
		ElectionTimeout: election, HeartbeatInterval: heartbeat,
		OnViolation: func(what string) { s.t.Errorf("violation: %s", what) },
	}, in.disk, s.now)
	if err != nil {
		s.t.Fatal(err)
	}
	in.node, in.led = node, s.now
	s.after(time.Duration(s.rng.Int64N(int64(heartbeat))), func() { s.maintain(in, node) })
	s.after(0, func() { s.tick(in, node) })
}

// tick passes time to a replica every few milliseconds.
func (s *site) tick(in *instance, node *raft.Node) {
	if in.node != node {
		return
	}
	if !s.now.Before(node.NextTick()) {
		s.step(in, raft.Tick{})
	}
	s.after(5*time.Millisecond, func() { s.tick(in, node) })
}

func (s *site) step(in *instance, ev raft.Event) {
	e := in.node.Step(s.now, ev)
	in.write(e)
	for _, m := range e.Immediate {
		s.send(in, m, 0)
	}
	for _, m := range e.Messages {
		s.send(in, m, syncTime)
	}
	if k := len(e.Entries); k > 0 {
		s.step(in, raft.Persisted{Index: e.Entries[k-1].Index, Term: e.Entries[k-1].Term})
	}
}

// write stores what the replica persists.
func (in *instance) write(e raft.Effects) {
	if e.Vote != nil {
		in.disk.Vote = *e.Vote
	}
	if e.Snapshot != nil {
		in.disk = corianderwing.StoredState{Vote: in.disk.Vote, Snapshot: *e.Snapshot}
	}
	for _, n := range e.Entries {
		in.disk.Entries = append(in.disk.Entries[:n.Index-1-in.disk.Snapshot.Index], n)
	}
}

func (s *site) send(from *instance, m raft.Message, sync time.Duration) {
	for _, to := range s.instances {
		if to.id == m.To {
			s.after(sync+s.delay(from, to), func() {
				if to.node != nil && to.id == m.To {
					s.step(to, raft.Received{Message: m})
				}
			})
		}
	}
}

func (s *site) delay(a, b *instance) time.Duration {
	jitter := time.Duration(s.rng.Int64N(int64(3 * time.Millisecond)))
	if a.region == b.region {
		return domainDelay + jitter
	}
	return regionDelay + jitter
}

// maintain asks to join while the replica is not a member, and changes the membership
// while it leads.
func (s *site) maintain(in *instance, node *raft.Node) {
	if in.node != node {
		return
	}
	next := heartbeat
	m := node.Membership()
	if node.Role().Leader != "" {
		in.led = s.now
	}
	member := slices.Contains(m.Voters, in.id) || slices.Contains(m.Learners, in.id)
	if !member || s.now.Sub(in.led) >= rejoinAfter {
		s.join(in)
	}
	if node.Role().Role == raft.Leader {
		c, ok := roster.NextChange(s.members(node), in.id, roster.VoterCount(losses), s.now)
		if ok {
			s.step(in, raft.ChangeMembership{Change: c})
			next = changeDelay
		}
	}
	s.after(next, func() { s.maintain(in, node) })
}

// join asks the leader to add a replica, after a round trip to learn who leads.
func (s *site) join(in *instance) {
	id := in.id
	s.after(2*regionDelay, func() {
		if l := s.leader(); l != nil {
			s.step(l, raft.ChangeMembership{Change: raft.MembershipChange{Op: raft.AddLearner, Instance: id}})
		}
	})
}

func (s *site) members(node *raft.Node) (list []roster.Member) {
	m := node.Membership()
	for _, id := range slices.Concat(m.Voters, m.Learners) {
		addr, region := s.place(id)
		list = append(list, roster.Member{
			ID: id, Addr: addr, Region: corianderwing.RegionID(region), Domain: corianderwing.DomainID(addr),
			Voter: slices.Contains(m.Voters, id), LastContact: node.LastContact(id),
			Match: node.MatchIndex(id), Lag: node.LastIndex() - min(node.LastIndex(), node.MatchIndex(id)),
		})
	}
	return list
}

func (s *site) place(id corianderwing.InstanceID) (addr, region string) {
	for _, in := range s.instances {
		for life := range in.lives + 1 {
			if id == corianderwing.InstanceID(fmt.Sprint(in.addr, "/", life)) {
				return in.addr, in.region
			}
		}
	}
	return string(id), ""
}

func (s *site) leader() *instance {
	var best *instance
	for _, in := range s.instances {
		if in.node == nil || in.node.Role().Role != raft.Leader {
			continue
		}
		if best == nil || in.node.Role().Term > best.node.Role().Term {
			best = in
		}
	}
	return best
}

// loseDisk ends a replica. It comes back with an empty disk, as another replica, or,
// if moved is set, as an instance at another address.
func (s *site) loseDisk(in *instance, moved bool) {
	in.node, in.lostAt = nil, s.now
	if moved {
		in.addr = fmt.Sprint(in.addr, "0")
	}
	in.lives++
	in.disk = corianderwing.StoredState{}
	in.id = corianderwing.InstanceID(fmt.Sprint(in.addr, "/", in.lives))
	s.after(down, func() { s.start(in, corianderwing.Membership{}) })
}

// stop ends a replica for a while. It comes back with its disk.
func (s *site) stop(in *instance, d time.Duration) {
	in.node, in.lostAt = nil, s.now
	s.after(d, func() { s.start(in, s.founders) })
}

// oldest returns the instance outside the given regions whose disk has lasted longest.
func (s *site) oldest(except ...string) *instance {
	var best *instance
	for _, in := range s.instances {
		if !slices.Contains(except, in.region) && (best == nil || cmp.Less(in.lostAt.UnixNano(), best.lostAt.UnixNano())) {
			best = in
		}
	}
	return best
}

// check fails unless the group has a leader, and bears the loss of any two disks.
func (s *site) check(what string) bool {
	l := s.leader()
	if l == nil {
		s.t.Errorf("%s: no leader", what)
		return false
	}
	live := 0
	for _, in := range s.instances {
		if in.node != nil && slices.Contains(l.node.Membership().Voters, in.id) {
			live++
		}
	}
	v := l.node.Membership().Voters
	if live-losses < len(v)/2+1 {
		s.t.Errorf("%s: of the voters %v only %d are alive", what, v, live)
		return false
	}
	return true
}

// Guards against control instances whose majority is lost for good when two disks at
// a time are lost, each time once the instances of the loss before have caught up
// (review/1): with or without the leader, one after the other, a whole region, and
// with successors at other addresses.
func TestTwoDisksInTurn(t *testing.T) {
	pair := func(s *site, l *instance, moved bool) {
		s.loseDisk(s.oldest(l.region), moved)
		s.loseDisk(l, moved)
	}
	cases := []struct {
		name string
		lose func(s *site, l *instance)
	}{
		{"leader and another region", func(s *site, l *instance) { pair(s, l, false) }},
		{"two followers", func(s *site, l *instance) {
			a := s.oldest(l.region)
			s.loseDisk(a, false)
			s.loseDisk(s.oldest(l.region, a.region), false)
		}},
		{"one after the other", func(s *site, l *instance) {
			s.loseDisk(l, false)
			s.run(900 * time.Millisecond)
			s.loseDisk(s.oldest(l.region), false)
		}},
		{"region of the leader", func(s *site, l *instance) {
			region := l.region
			for _, in := range s.instances {
				if in.region == region {
					s.loseDisk(in, false)
				}
			}
		}},
		{"replaced at other addresses", func(s *site, l *instance) { pair(s, l, true) }},
	}
	for _, c := range cases {
		for seed := range uint64(5) {
			s := newSite(t, seed)
			s.run(8 * time.Second)
			for round := range 6 {
				what := fmt.Sprintf("%s, seed %d, loss %d", c.name, seed, round)
				if !s.check(what) {
					return
				}
				c.lose(s, s.leader())
				s.run(down + catchUp)
			}
		}
	}
}

// Guards against changes that are refused for good after the disks of all control
// instances were full for a while, one after the other: each replica stops, another
// one votes in its place, and it comes back under its ID to a group that has removed it.
func TestDisksFullInTurn(t *testing.T) {
	for _, outage := range []time.Duration{time.Second, 3 * time.Second, 12 * time.Second} {
		for seed := range uint64(4) {
			s := newSite(t, seed)
			s.run(8 * time.Second)
			for round := range 12 {
				in := s.oldest()
				if round%3 == 0 {
					in = s.leader()
				}
				s.stop(in, outage)
				s.run(max(outage, 2*election) + 300*time.Millisecond)
				if l := s.leader(); l == nil {
					t.Fatalf("outage of %v, seed %d, round %d: no leader", outage, seed, round)
				}
			}
			s.run(catchUp)
			if !s.check(fmt.Sprintf("outage of %v, seed %d", outage, seed)) {
				return
			}
		}
	}
}

// Guards against a majority that is lost for good when two disks are lost after two
// other instances were silent for long (review/2): the group then had three voters, and
// what it had acknowledged was on two disks.
func TestTwoDisksLostAfterLongSilence(t *testing.T) {
	for seed := range uint64(5) {
		s := newSite(t, seed)
		s.run(8 * time.Second)
		region := s.leader().region
		silent := s.oldest(region).region
		const outage = 17 * time.Second
		for _, in := range s.instances {
			if in.region == silent {
				s.stop(in, outage)
			}
		}
		s.run(outage - time.Second)
		region = s.leader().region
		for _, in := range s.instances {
			if in.region == region {
				s.loseDisk(in, false)
			}
		}
		s.run(time.Second + 2*catchUp)
		if !s.check(fmt.Sprintf("seed %d", seed)) {
			return
		}
	}
}
