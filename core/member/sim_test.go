package member

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"corianderwing"
)

// step is the resolution of virtual time in the runs.
const step = 20 * time.Millisecond

var testPools = []corianderwing.PoolID{"motif-catalogue", "order-desk", "loom-files"}

// fleet is a fleet of states with faults.
type fleet struct {
	r       *rand.Rand
	off     string // the mechanism that is switched off
	now     time.Duration
	nodes   []*node
	mail    []mail
	loss    int // messages in a hundred that are lost
	cut     map[[2]corianderwing.DomainID]time.Duration
	owned   map[place]int // steps with an owner
	failure error
}

type node struct {
	*State
	id     corianderwing.InstanceID
	life   corianderwing.Incarnation
	base   time.Time
	drift  float64
	view   *View
	stale  bool          // the view must be made anew
	gossip time.Duration // next round
	tick   time.Duration
	thaw   time.Duration
	deaf   time.Duration // receives nothing before
	mute   time.Duration // sends nothing before
	domain corianderwing.DomainID
}

type mail struct {
	at       time.Duration
	from, to *node
	answer   bool
	msg      Gossip
}

func (n *node) read(now time.Duration) time.Time {
	return n.base.Add(time.Duration(float64(now) * (1 + n.drift)))
}

func newFleet(seed uint64, off string) *fleet {
	f := &fleet{
		r: rand.New(rand.NewPCG(seed, 2)), off: off,
		cut:   make(map[[2]corianderwing.DomainID]time.Duration),
		owned: make(map[place]int),
	}
	f.loss = f.r.IntN(15)
	for d := range 3 {
		for i := range 2 + f.r.IntN(2) {
			n := &node{
				id:     corianderwing.InstanceID(fmt.Sprintf("d%d-i%d", d, i)),
				domain: corianderwing.DomainID(fmt.Sprintf("d%d", d)),
				base:   time.Unix(1e9+f.r.Int64N(1e6), 0),
				drift:  corianderwing.MaxClockDrift * float64(f.r.IntN(3)-1),
			}
			f.nodes = append(f.nodes, n)
			f.start(n)
		}
	}
	return f
}

func (f *fleet) start(n *node) {
	n.life++
	self := corianderwing.Instance{ID: n.id, Incarnation: n.life, Domain: n.domain, PeerAddr: string(n.id)}
	n.State = New(Config{Self: self, Seeds: []string{string(f.nodes[0].id)}, RandSeed: f.r.Uint64()}, n.read(f.now))
	n.view = n.View(n.read(f.now))
	n.gossip = f.now + f.upTo(GossipInterval)
}

func (f *fleet) upTo(d time.Duration) time.Duration { return time.Duration(f.r.Int64N(int64(d))) }

// run runs the fleet, with faults if there are any, until the given time.
func (f *fleet) run(until time.Duration, faults bool) {
	fault := f.now + f.upTo(10*time.Second)
	for ; f.now < until && f.failure == nil; f.now += step {
		if faults && f.now >= fault {
			f.fault()
			fault = f.now + f.upTo(6*time.Second)
		}
		f.deliver()
		for _, n := range f.nodes {
			f.act(n)
		}
		f.check()
	}
}

func (f *fleet) act(n *node) {
	if f.now < n.thaw {
		return
	}
	now := n.read(f.now)
	if f.now >= n.tick {
		n.tick = f.now + 100*time.Millisecond
		n.Tick(now)
		n.stale = true
	}
	if f.now >= n.gossip {
		n.gossip = f.now + GossipInterval
		msg := n.StartExchange(now)
		for _, addr := range n.GossipPeers(now) {
			i := slices.IndexFunc(f.nodes, func(o *node) bool { return string(o.id) == addr })
			f.post(n, f.nodes[i], false, msg)
		}
	}
}

func (f *fleet) post(from, to *node, answer bool, msg Gossip) {
	if f.now < from.mute || f.r.IntN(100) < f.loss || f.now < f.cut[[2]corianderwing.DomainID{from.domain, to.domain}] {
		return
	}
	delay := time.Millisecond + f.upTo(100*time.Millisecond)
	if f.r.IntN(50) == 0 {
		delay = f.upTo(4 * time.Second)
	}
	f.mail = append(f.mail, mail{f.now + delay, from, to, answer, msg})
}

func (f *fleet) deliver() {
	slices.SortStableFunc(f.mail, func(a, b mail) int { return cmp.Compare(a.at, b.at) })
	for len(f.mail) > 0 && f.mail[0].at <= f.now {
		m := f.mail[0]
		f.mail = f.mail[1:]
		n := m.to
		if f.now < n.thaw {
			m.at = n.thaw
			f.mail = append(f.mail, m)
			continue
		}
		if f.now < n.deaf {
			continue
		}
		now := n.read(f.now)
		if m.answer {
			n.Merge(now, m.msg)
		} else {
			f.post(n, m.from, true, n.HandleExchange(now, m.msg))
		}
		f.switchOff(n, now)
		n.stale = true
	}
}

// switchOff undoes what a mechanism does.
func (f *fleet) switchOff(n *node, now time.Time) {
	switch f.off {
	case "echo": // receipt of a message counts as contact
		n.contact = now
		for _, p := range n.members {
			p.echo = now
		}
	case "wait until able":
		n.since = time.Time{}
		n.updateAble(now)
	case "echo of neighbours":
		for _, p := range n.members {
			p.echo = now
		}
	}
}

// fault freezes, isolates or restarts an instance, or cuts domains off.
func (f *fleet) fault() {
	n := f.nodes[f.r.IntN(len(f.nodes))]
	until := f.now + f.upTo(12*time.Second)
	switch f.r.IntN(6) {
	case 0:
		n.thaw = until
	case 1:
		n.deaf, n.mute = until, until
	case 2:
		n.mute = until
	case 3:
		n.deaf = until
	case 4:
		f.start(n)
	case 5:
		a, b := f.nodes[f.r.IntN(len(f.nodes))].domain, f.nodes[f.r.IntN(len(f.nodes))].domain
		if a != b {
			f.cut[[2]corianderwing.DomainID{a, b}] = until
			f.cut[[2]corianderwing.DomainID{b, a}] = until
		}
	}
}

// unowned runs the fleet without faults for d and returns for how long each
// pool of a domain had no owner.
func (f *fleet) unowned(domain corianderwing.DomainID, d time.Duration) []time.Duration {
	f.owned = make(map[place]int)
	f.run(f.now+d, false)
	lost := make([]time.Duration, len(testPools))
	for i, p := range testPools {
		lost[i] = d - time.Duration(f.owned[place{p, domain}])*step
	}
	return lost
}

// check asserts that no two instances own the same pool of a domain.
func (f *fleet) check() {
	owner := make(map[place]*node)
	for _, n := range f.nodes {
		if f.now < n.thaw {
			continue
		}
		if n.stale {
			n.view, n.stale = n.View(n.read(f.now)), false
		}
		for _, p := range testPools {
			if !n.view.Owns(n.read(f.now), p) {
				continue
			}
			at := place{p, n.domain}
			if o := owner[at]; o != nil && f.failure == nil {
				f.failure = fmt.Errorf("at %v both %s and %s own pool %s of %s", f.now, o.id, n.id, p, n.domain)
			}
			owner[at] = n
			f.owned[at]++
		}
	}
}
