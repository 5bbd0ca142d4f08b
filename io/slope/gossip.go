package slope

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"corianderwing"
	"corianderwing/core/member"
)

const gossipBasis = "core/member in virtual time, 4 instances in each domain, the messages of 8 instances encoded as CBOR and decoded again, over 8 rounds after 12 rounds in which the fleet has met; without gRPC, TCP, loss or delay, and without the views that io/fleet makes after each message"

// counted is how many instances' exchanges are encoded and timed. All take the
// same part, and encoding all of 200 would take the whole run.
const counted = 8

// gossip measures an instance's exchanges against the size of the fleet and
// the number of upstreams.
func gossip(_ context.Context, s Sizes, _ string) ([]Series, error) {
	var all []Series
	measure := func(per string, sizes []int, fleet func(int) (instances, upstreams int)) error {
		bytes := Series{Role: "entry", Cost: "gossip, both directions", Unit: "B/s", Per: per, Basis: gossipBasis}
		work := Series{Role: "entry", Cost: "gossip CPU", Unit: "% of a core", Per: per, Basis: gossipBasis}
		for _, n := range sizes {
			i, u := fleet(n)
			b, c, err := gossipCost(i, u)
			if err != nil {
				return err
			}
			bytes.Points = append(bytes.Points, Point{float64(n), b})
			work.Points = append(work.Points, Point{float64(n), c})
		}
		all = append(all, bytes, work)
		return nil
	}
	if err := measure("instances", s.Instances, func(n int) (int, int) { return n, 0 }); err != nil {
		return nil, err
	}
	least := s.Instances[0]
	err := measure("upstreams", s.Upstreams, func(n int) (int, int) { return least, n })
	return all, err
}

// gossiper is a fleet in virtual time.
type gossiper struct {
	now    time.Time
	states []*member.State
	byAddr map[string]*member.State
	ups    int
	seq    uint64
	bytes  int
	work   time.Duration
}

// gossipCost returns the bytes per second and the part of a core, in percent,
// of one instance.
func gossipCost(instances, upstreams int) (bytes, percent float64, err error) {
	g := newGossiper(instances, upstreams)
	const meet, measure = 12, 8 // rounds of member.GossipInterval
	for range meet {
		if err := g.round(0); err != nil {
			return 0, 0, err
		}
	}
	g.bytes, g.work = 0, 0
	n := min(counted, instances)
	for range measure {
		if err := g.round(n); err != nil {
			return 0, 0, err
		}
	}
	seconds := float64(measure) * member.GossipInterval.Seconds() * float64(n)
	// Each instance begins as many exchanges as it answers, on average.
	return 2 * float64(g.bytes) / seconds, 100 * g.work.Seconds() / seconds, nil
}

func newGossiper(instances, upstreams int) *gossiper {
	g := &gossiper{now: time.Unix(1_800_000_000, 0), byAddr: map[string]*member.State{}, ups: upstreams}
	for i := range instances {
		self := corianderwing.Instance{
			ID:           corianderwing.InstanceID(fmt.Sprint("i", i)),
			Incarnation:  1_800_000_000_000_000_000,
			Domain:       domainOf(i, instances),
			Region:       "region-1",
			PublicAddr:   fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
			InternalAddr: fmt.Sprintf("10.0.%d.%d:8081", i/250, i%250),
			PeerAddr:     fmt.Sprintf("10.0.%d.%d:8082", i/250, i%250),
		}
		cfg := member.Config{Self: self, RandSeed: uint64(i), Seeds: []string{"10.0.0.0:8082"}}
		st := member.New(cfg, g.now)
		g.states = append(g.states, st)
		g.byAddr[self.PeerAddr] = st
	}
	return g
}

func domainOf(i, instances int) corianderwing.DomainID {
	return corianderwing.DomainID(fmt.Sprint("d", i%max(1, instances/4)))
}

// round is one round of all instances. The exchanges that the first n begin
// are encoded and timed.
func (g *gossiper) round(n int) error {
	g.now = g.now.Add(member.GossipInterval)
	if err := g.announce(); err != nil {
		return err
	}
	for i, st := range g.states {
		start := cpu()
		st.Tick(g.now)
		msg := st.StartExchange(g.now)
		for _, addr := range st.GossipPeers(g.now) {
			if err := g.exchange(st, g.byAddr[addr], msg, i < n); err != nil {
				return err
			}
		}
		if i < n {
			g.work += cpu() - start
		}
	}
	return nil
}

// exchange costs both sides together, which is what each instance pays on
// average: it begins one exchange and answers one.
func (g *gossiper) exchange(from, to *member.State, msg member.Gossip, count bool) error {
	if !count {
		from.Merge(g.now, to.HandleExchange(g.now, msg))
		return nil
	}
	there, err := g.carry(msg)
	if err != nil {
		return err
	}
	back, err := g.carry(to.HandleExchange(g.now, there))
	if err != nil {
		return err
	}
	from.Merge(g.now, back)
	return nil
}

func (g *gossiper) carry(m member.Gossip) (member.Gossip, error) {
	var got member.Gossip
	data, err := cbor.Marshal(m)
	if err != nil {
		return got, err
	}
	g.bytes += len(data)
	err = cbor.Unmarshal(data, &got)
	return got, err
}

// announce lets each upstream announce itself every second to an instance of
// its domain.
func (g *gossiper) announce() error {
	g.seq++
	if g.seq%2 == 1 {
		return nil
	}
	for u := range g.ups {
		st := g.states[u%len(g.states)]
		err := st.Announce(g.now, corianderwing.Upstream{
			ID:          corianderwing.UpstreamID(fmt.Sprint("u", u)),
			Incarnation: 1_800_000_000_000_000_000,
			Seq:         g.seq,
			Pool:        corianderwing.PoolID(fmt.Sprint("pool", u%8)),
			Version:     "v1",
			Domain:      st.Self().Domain,
			Addr:        fmt.Sprintf("10.1.%d.%d:9000", u/250, u%250),
			Slots:       4,
			Conns:       300,
			Phase:       corianderwing.Ready,
		})
		if err != nil {
			return err
		}
	}
	return nil
}
