// Package member decides which instances and upstreams are live and which
// instance owns a pool in a failure domain.
//
// A State holds the membership view of one entry instance. Instances increment
// heartbeat counters and exchange records by push-pull gossip. Records carry
// ages, never timestamps of another clock. The package does no I/O: the time is
// passed in, and io/fleet sends the messages.
//
// # Ownership
//
// The owner of a pool in a domain is the eligible instance of that domain with
// the highest rendezvous hash. It acts only while another instance has echoed
// one of its heartbeats of the last 2 s. Receiving messages is not enough,
// because the instance's own messages may be lost. Other instances take over
// after 3 s without a heartbeat of the owner. An instance becomes eligible after
// 3 s of uninterrupted contact, the time it may take to learn of another owner.
// It acts once the other instances of its domain have echoed a heartbeat that
// announces its eligibility; by then the owners that it outranks have stopped.
//
// Two owners never act at the same time under one condition: any instances of a
// domain that have contact with other instances also have contact with each
// other, directly or through relays. A partition that splits a domain into
// parts, each of which has contact with other instances, violates it.
package member

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"corianderwing"
)

const (
	// OwnershipLease is how long an owner may act after its latest heartbeat that
	// another instance has echoed.
	OwnershipLease = 2 * time.Second
	// ExpireAfter is the age of the latest heartbeat or announcement at which an
	// instance or upstream expires.
	ExpireAfter = 3 * time.Second
	// TombstoneTTL is how long the record of an expired or left instance or
	// upstream is kept, so that outdated records don't bring it back.
	TombstoneTTL = 60 * time.Second
	// GossipInterval is the time between two gossip rounds.
	GossipInterval = 500 * time.Millisecond
	// maxEchoLag is how much older than a peer's latest heartbeat the latest own
	// heartbeat echoed by it may be. It is below ExpireAfter by more than two
	// gossip rounds.
	maxEchoLag = 1500 * time.Millisecond
	// pushWindow is the age up to which a record is pushed in the first message
	// of an exchange.
	pushWindow = 2 * GossipInterval
)

// Config configures a State.
type Config struct {
	Self         corianderwing.Instance
	SoleInstance bool                                              // whether Self is the only configured instance of its domain
	Seeds        []string                                          // seed addresses, host:port for gRPC
	Regions      map[corianderwing.DomainID]corianderwing.RegionID // region of every domain
	Delays       map[corianderwing.DomainID]time.Duration          // one-way delay from this domain
	RandSeed     uint64                                            // seed for the selection of gossip peers
}

// State is the membership view of one instance. It is not safe for concurrent
// use.
type State struct {
	cfg              Config
	self             corianderwing.Instance
	heartbeats       []heartbeat // own heartbeats of the last ExpireAfter, oldest first
	lastEchoed       time.Time   // latest own heartbeat that another instance has echoed
	contactSince     time.Time   // start of the uninterrupted contact
	eligibleSince    time.Time   // zero if the instance is not eligible
	eligibilityKnown bool        // the other instances of the domain know that it is eligible
	superseded       bool        // a later incarnation of this instance is known
	peers            map[corianderwing.InstanceID]*peer
	upstreams        map[corianderwing.UpstreamID]*upstreamState
	rng              *rand.Rand
}

type heartbeat struct {
	seq uint64
	at  time.Time
}

// peer holds the record of another instance.
type peer struct {
	corianderwing.Instance
	eligible    bool
	received    []InstanceDigest
	heartbeatAt time.Time // local time of its latest heartbeat, estimated from the record's age
	lastEchoed  time.Time // latest own heartbeat that the peer has echoed
}

// upstreamState holds the record of an upstream.
type upstreamState struct {
	corianderwing.Upstream
	announcedAt time.Time
	fingerprint uint32    // hash of all fields but Seq and Load
	changedAt   time.Time // when fingerprint changed
}

// New returns a State that knows only the instance itself.
func New(cfg Config, now time.Time) *State {
	s := &State{
		cfg:       cfg,
		self:      cfg.Self,
		peers:     make(map[corianderwing.InstanceID]*peer),
		upstreams: make(map[corianderwing.UpstreamID]*upstreamState),
		rng:       rand.New(rand.NewPCG(cfg.RandSeed, uint64(cfg.Self.Incarnation))),
	}
	if s.self.Phase == "" {
		s.self.Phase = corianderwing.Ready
	}
	s.Heartbeat(now)
	return s
}

// Self returns this instance as announced to its peers.
func (s *State) Self() corianderwing.Instance { return s.self }

// Heartbeat increments the heartbeat counter.
func (s *State) Heartbeat(now time.Time) {
	s.self.Seq++
	s.heartbeats = append(s.heartbeats, heartbeat{s.self.Seq, now})
	for len(s.heartbeats) > 1 && now.Sub(s.heartbeats[0].at) > ExpireAfter {
		s.heartbeats = s.heartbeats[1:]
	}
}

// SetPhase advances the phase of this instance, which owns pools only while it
// is ready. Changes to an earlier phase are ignored.
func (s *State) SetPhase(now time.Time, p corianderwing.Phase) {
	if phaseOrder(p) > phaseOrder(s.self.Phase) {
		s.self.Phase = p
		s.Heartbeat(now)
	}
}

func phaseOrder(p corianderwing.Phase) int {
	switch p {
	case corianderwing.Ready:
		return 0
	case corianderwing.Draining:
		return 1
	}
	return 2
}

// SetLoads sets the pool loads that this instance reports.
func (s *State) SetLoads(loads []corianderwing.PoolLoad) { s.self.Loads = loads }

// Announce merges an announcement of an upstream of this domain. It fails with
// InvalidInput for an upstream of another domain, for a field that is not valid,
// for an earlier incarnation of a known upstream, and for a second process that
// announces the same incarnation at another address.
func (s *State) Announce(now time.Time, u corianderwing.Upstream) error {
	if err := validate(u); err != nil {
		return err
	}
	if u.Domain != s.self.Domain {
		return corianderwing.Errorf(corianderwing.InvalidInput, "upstream %q is in domain %q, not in %q", u.ID, u.Domain, s.self.Domain)
	}
	if known, ok := s.upstreams[u.ID]; ok && u.Incarnation < known.Incarnation {
		return corianderwing.Errorf(corianderwing.InvalidInput, "upstream %q: incarnation %d is known, %d is older", u.ID, known.Incarnation, u.Incarnation)
	}
	if known, ok := s.upstreams[u.ID]; ok && u.Incarnation == known.Incarnation && u.Addr != known.Addr {
		return corianderwing.Errorf(corianderwing.InvalidInput, "upstream %q: two processes announce incarnation %d, at %s and %s", u.ID, u.Incarnation, known.Addr, u.Addr)
	}
	s.mergeUpstream(now, UpstreamRecord{Upstream: u})
	return nil
}

func validate(u corianderwing.Upstream) error {
	if !corianderwing.ValidID(string(u.ID)) || !corianderwing.ValidID(string(u.Pool)) || !corianderwing.ValidID(string(u.Version)) {
		return corianderwing.Errorf(corianderwing.InvalidInput, "upstream %q of pool %q, version %q: an id is not valid", u.ID, u.Pool, u.Version)
	}
	switch u.Phase {
	case corianderwing.Ready, corianderwing.Draining, corianderwing.Left:
	default:
		return corianderwing.Errorf(corianderwing.InvalidInput, "upstream %q: unknown phase %q", u.ID, u.Phase)
	}
	if _, err := netip.ParseAddrPort(u.Addr); err != nil {
		return corianderwing.Errorf(corianderwing.InvalidInput, "upstream %q: address %q: %v", u.ID, u.Addr, err)
	}
	if u.Slots < 0 || u.Conns < 0 {
		return corianderwing.Errorf(corianderwing.InvalidInput, "upstream %q: %d slots and %d connections must not be negative", u.ID, u.Slots, u.Conns)
	}
	return nil
}

// Tick deletes records older than TombstoneTTL and updates the eligibility of
// this instance.
func (s *State) Tick(now time.Time) {
	for id, p := range s.peers {
		if now.Sub(p.heartbeatAt) > TombstoneTTL {
			delete(s.peers, id)
		}
	}
	for id, u := range s.upstreams {
		if now.Sub(u.announcedAt) > TombstoneTTL {
			delete(s.upstreams, id)
		}
	}
	s.updateEligibility(now)
}

// expired reports whether the latest heartbeat is older than ExpireAfter. The
// margin covers the drift of this clock and of the clocks that measured the age.
func (p *peer) expired(now time.Time) bool {
	return !now.Before(corianderwing.GrantorDeadline(p.heartbeatAt, ExpireAfter))
}

// expired reports whether the latest announcement is older than ExpireAfter.
func (u *upstreamState) expired(now time.Time) bool {
	return !now.Before(corianderwing.HolderDeadline(u.announcedAt, ExpireAfter))
}
