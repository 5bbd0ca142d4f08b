package member

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"corianderwing"
)

// step is the resolution of the simulated time.
const step = 20 * time.Millisecond

var testPools = []corianderwing.PoolID{"motif-catalogue", "order-desk", "loom-files"}

// fleet simulates a fleet of instances, with fault injection.
type fleet struct {
	r           *rand.Rand
	disabled    string // the mechanism that is switched off
	now         time.Duration
	nodes       []*node
	packets     []packet
	lossPercent int // percentage of lost messages
	cutUntil    map[[2]corianderwing.DomainID]time.Duration
	ownedSteps  map[poolDomain]int // steps with an owner
	failure     error
}

type node struct {
	*State
	id                corianderwing.InstanceID
	incarnation       corianderwing.Incarnation
	clockStart        time.Time
	drift             float64
	view              *View
	viewStale         bool          // the view must be rebuilt
	nextGossip        time.Duration // time of the next round
	nextTick          time.Duration
	frozenUntil       time.Duration
	receiveFailsUntil time.Duration // drops received messages before
	sendFailsUntil    time.Duration // drops sent messages before
	domain            corianderwing.DomainID
}

type packet struct {
	at       time.Duration
	from, to *node
	answer   bool
	msg      Gossip
}

func (n *node) localTime(now time.Duration) time.Time {
	return n.clockStart.Add(time.Duration(float64(now) * (1 + n.drift)))
}

func newFleet(seed uint64, disabled string) *fleet {
	f := &fleet{
		r: rand.New(rand.NewPCG(seed, 2)), disabled: disabled,
		cutUntil:   make(map[[2]corianderwing.DomainID]time.Duration),
		ownedSteps: make(map[poolDomain]int),
	}
	f.lossPercent = f.r.IntN(15)
	for d := range 3 {
		for i := range 2 + f.r.IntN(2) {
			n := &node{
				id:         corianderwing.InstanceID(fmt.Sprintf("d%d-i%d", d, i)),
				domain:     corianderwing.DomainID(fmt.Sprintf("d%d", d)),
				clockStart: time.Unix(1e9+f.r.Int64N(1e6), 0),
				drift:      corianderwing.MaxClockDrift * float64(f.r.IntN(3)-1),
			}
			f.nodes = append(f.nodes, n)
			f.start(n)
		}
	}
	return f
}

func (f *fleet) start(n *node) {
	n.incarnation++
	self := corianderwing.Instance{ID: n.id, Incarnation: n.incarnation, Domain: n.domain, PeerAddr: string(n.id)}
	n.State = New(Config{Self: self, Seeds: []string{string(f.nodes[0].id)}, RandSeed: f.r.Uint64()}, n.localTime(f.now))
	n.view = n.View(n.localTime(f.now))
	n.nextGossip = f.now + f.randomDuration(GossipInterval)
}

func (f *fleet) randomDuration(d time.Duration) time.Duration {
	return time.Duration(f.r.Int64N(int64(d)))
}

// run simulates the fleet until the given time, optionally with faults.
func (f *fleet) run(until time.Duration, faults bool) {
	fault := f.now + f.randomDuration(10*time.Second)
	for ; f.now < until && f.failure == nil; f.now += step {
		if faults && f.now >= fault {
			f.injectFault()
			fault = f.now + f.randomDuration(6*time.Second)
		}
		f.deliver()
		for _, n := range f.nodes {
			f.runNode(n)
		}
		f.checkOwners()
	}
}

func (f *fleet) runNode(n *node) {
	if f.now < n.frozenUntil {
		return
	}
	now := n.localTime(f.now)
	if f.now >= n.nextTick {
		n.nextTick = f.now + 100*time.Millisecond
		n.Tick(now)
		n.viewStale = true
	}
	if f.now >= n.nextGossip {
		n.nextGossip = f.now + GossipInterval
		msg := n.StartExchange(now)
		for _, addr := range n.GossipPeers(now) {
			i := slices.IndexFunc(f.nodes, func(o *node) bool { return string(o.id) == addr })
			f.send(n, f.nodes[i], false, msg)
		}
	}
}

func (f *fleet) send(from, to *node, answer bool, msg Gossip) {
	if f.now < from.sendFailsUntil || f.r.IntN(100) < f.lossPercent || f.now < f.cutUntil[[2]corianderwing.DomainID{from.domain, to.domain}] {
		return
	}
	delay := time.Millisecond + f.randomDuration(100*time.Millisecond)
	if f.r.IntN(50) == 0 {
		delay = f.randomDuration(4 * time.Second)
	}
	f.packets = append(f.packets, packet{f.now + delay, from, to, answer, msg})
}

func (f *fleet) deliver() {
	slices.SortStableFunc(f.packets, func(a, b packet) int { return cmp.Compare(a.at, b.at) })
	for len(f.packets) > 0 && f.packets[0].at <= f.now {
		m := f.packets[0]
		f.packets = f.packets[1:]
		n := m.to
		if f.now < n.frozenUntil {
			m.at = n.frozenUntil
			f.packets = append(f.packets, m)
			continue
		}
		if f.now < n.receiveFailsUntil {
			continue
		}
		now := n.localTime(f.now)
		if m.answer {
			n.Merge(now, m.msg)
		} else {
			f.send(n, m.from, true, n.HandleExchange(now, m.msg))
		}
		f.disableMechanism(n, now)
		n.viewStale = true
	}
}

// disableMechanism undoes the effect of the disabled mechanism.
func (f *fleet) disableMechanism(n *node, now time.Time) {
	switch f.disabled {
	case "echo": // any received message counts as contact
		n.lastEchoed = now
		for _, p := range n.peers {
			p.lastEchoed = now
		}
	case "wait until eligible":
		n.contactSince = time.Time{}
		n.updateEligibility(now)
	case "echo of local peers":
		for _, p := range n.peers {
			p.lastEchoed = now
		}
	}
}

// injectFault freezes, isolates or restarts an instance, or partitions two
// domains.
func (f *fleet) injectFault() {
	n := f.nodes[f.r.IntN(len(f.nodes))]
	until := f.now + f.randomDuration(12*time.Second)
	switch f.r.IntN(6) {
	case 0:
		n.frozenUntil = until
	case 1:
		n.receiveFailsUntil, n.sendFailsUntil = until, until
	case 2:
		n.sendFailsUntil = until
	case 3:
		n.receiveFailsUntil = until
	case 4:
		f.start(n)
	case 5:
		a, b := f.nodes[f.r.IntN(len(f.nodes))].domain, f.nodes[f.r.IntN(len(f.nodes))].domain
		if a != b {
			f.cutUntil[[2]corianderwing.DomainID{a, b}] = until
			f.cutUntil[[2]corianderwing.DomainID{b, a}] = until
		}
	}
}

// unowned simulates the fleet without faults for d and returns how long each
// pool of a domain had no owner.
func (f *fleet) unowned(domain corianderwing.DomainID, d time.Duration) []time.Duration {
	f.ownedSteps = make(map[poolDomain]int)
	f.run(f.now+d, false)
	lost := make([]time.Duration, len(testPools))
	for i, p := range testPools {
		lost[i] = d - time.Duration(f.ownedSteps[poolDomain{p, domain}])*step
	}
	return lost
}

// checkOwners asserts that no two instances own the same pool of a domain.
func (f *fleet) checkOwners() {
	owner := make(map[poolDomain]*node)
	for _, n := range f.nodes {
		if f.now < n.frozenUntil {
			continue
		}
		if n.viewStale {
			n.view, n.viewStale = n.View(n.localTime(f.now)), false
		}
		for _, p := range testPools {
			if !n.view.Owns(n.localTime(f.now), p) {
				continue
			}
			at := poolDomain{p, n.domain}
			if o := owner[at]; o != nil && f.failure == nil {
				f.failure = fmt.Errorf("at %v both %s and %s own pool %s of %s", f.now, o.id, n.id, p, n.domain)
			}
			owner[at] = n
			f.ownedSteps[at]++
		}
	}
}
