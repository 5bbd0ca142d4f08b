// Package member decides which instances and upstreams are live and which
// instance owns a pool in a failure domain.
//
// A State holds what one entry instance knows. Instances count heartbeats and
// exchange records by push-pull gossip; records carry ages, never times of
// another clock. The package is pure: time is passed in, and io/fleet sends
// the messages.
//
// # Ownership
//
// The owner of a pool in a domain is the able instance of that domain with the
// highest rendezvous hash. It acts only while another instance has echoed one
// of its heartbeats of the last 2 s; hearing from another instance is not
// enough, because its own messages may be lost. Others take over after 3 s
// without news of it. An instance is able once it has had unbroken contact for
// the 3 s that another owner may need to be noticed. It acts after the other
// instances of its domain have echoed a heartbeat that says so, by which time
// those that it outranks have stopped.
//
// Two owners never act at the same time as long as instances of one domain
// that are in contact with any others are, directly or through relays, in
// contact with each other. A network that cuts a domain in two, each part with
// contact of its own, breaks this condition.
package member

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"corianderwing"
)

const (
	// OwnershipLease is how long an owner acts after the heartbeat that another
	// instance echoed last.
	OwnershipLease = 2 * time.Second
	// ExpireAfter is how long an instance or upstream may be silent before it
	// counts as expired.
	ExpireAfter = 3 * time.Second
	// TombstoneTTL is how long an expired or left instance or upstream is
	// remembered, so that old news does not bring it back.
	TombstoneTTL = 60 * time.Second
	// GossipInterval is the time between two rounds of gossip.
	GossipInterval = 500 * time.Millisecond
	// maxEchoLag is how far the echo of an instance may be behind its news. It
	// is less than SilentFor by more than two rounds of gossip.
	maxEchoLag = 1500 * time.Millisecond
	// pushWindow is how recent a record must be to be pushed without being asked.
	pushWindow = 2 * GossipInterval
)

// Config describes the instance that a State belongs to.
type Config struct {
	Self         corianderwing.Instance
	SoleInstance bool                                              // the only configured instance of its domain
	Seeds        []string                                          // addresses of a few instances, host:port for gRPC
	Regions      map[corianderwing.DomainID]corianderwing.RegionID // of every domain
	Delays       map[corianderwing.DomainID]time.Duration          // one way, from this domain
	RandSeed     uint64                                            // seed of the choice of partners
}

// State is what one instance knows of the fleet. Its methods must not run at
// the same time.
type State struct {
	cfg              Config
	self             corianderwing.Instance
	heartbeats       []heartbeat // own heartbeats of the last SilentFor, oldest first
	lastEchoed       time.Time   // latest own heartbeat that another instance has echoed
	contactSince     time.Time   // begin of the unbroken contact
	eligibleSince    time.Time   // when the instance became able; zero if it is not
	eligibilityKnown bool        // the others of the domain know that it is able
	superseded       bool        // a later life of this instance is known
	peers            map[corianderwing.InstanceID]*peer
	upstreams        map[corianderwing.UpstreamID]*upstreamState
	rng              *rand.Rand
}

type heartbeat struct {
	seq uint64
	at  time.Time
}

// peer is another instance.
type peer struct {
	corianderwing.Instance
	eligible    bool
	received    []InstanceDigest
	heartbeatAt time.Time // time of the heartbeat, as far as its age tells
	lastEchoed  time.Time // latest own heartbeat that this instance has echoed
}

type upstreamState struct {
	corianderwing.Upstream
	announcedAt time.Time
	fingerprint uint32    // hash of all fields but Seq and Load
	changedAt   time.Time // when print changed
}

// New returns the state of an instance that knows only itself.
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

// Self returns this instance as its peers learn of it.
func (s *State) Self() corianderwing.Instance { return s.self }

// Heartbeat counts a heartbeat.
func (s *State) Heartbeat(now time.Time) {
	s.self.Seq++
	s.heartbeats = append(s.heartbeats, heartbeat{s.self.Seq, now})
	for len(s.heartbeats) > 1 && now.Sub(s.heartbeats[0].at) > ExpireAfter {
		s.heartbeats = s.heartbeats[1:]
	}
}

// SetPhase changes the phase of this instance, which owns pools only while it
// is ready. A phase never goes back.
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

// SetLoads replaces the loads that this instance reports.
func (s *State) SetLoads(loads []corianderwing.PoolLoad) { s.self.Loads = loads }

// Announce takes an announcement of an upstream of this domain. It fails with
// BadInput for an upstream of another domain, for a field that is not valid,
// and for an earlier life of a known upstream.
func (s *State) Announce(now time.Time, u corianderwing.Upstream) error {
	if err := validate(u); err != nil {
		return err
	}
	if u.Domain != s.self.Domain {
		return corianderwing.Errorf(corianderwing.BadInput, "upstream %q is in domain %q, not in %q", u.ID, u.Domain, s.self.Domain)
	}
	if known, ok := s.upstreams[u.ID]; ok && u.Incarnation < known.Incarnation {
		return corianderwing.Errorf(corianderwing.BadInput, "upstream %q: incarnation %d is known, %d is older", u.ID, known.Incarnation, u.Incarnation)
	}
	if known, ok := s.upstreams[u.ID]; ok && u.Incarnation == known.Incarnation && u.Addr != known.Addr {
		return corianderwing.Errorf(corianderwing.BadInput, "upstream %q: two processes announce incarnation %d, at %s and %s", u.ID, u.Incarnation, known.Addr, u.Addr)
	}
	s.mergeUpstream(now, UpstreamRecord{Upstream: u})
	return nil
}

func validate(u corianderwing.Upstream) error {
	if !corianderwing.ValidID(string(u.ID)) || !corianderwing.ValidID(string(u.Pool)) || !corianderwing.ValidID(string(u.Version)) {
		return corianderwing.Errorf(corianderwing.BadInput, "upstream %q of pool %q, version %q: an id is not valid", u.ID, u.Pool, u.Version)
	}
	switch u.Phase {
	case corianderwing.Ready, corianderwing.Draining, corianderwing.Left:
	default:
		return corianderwing.Errorf(corianderwing.BadInput, "upstream %q: unknown phase %q", u.ID, u.Phase)
	}
	if _, err := netip.ParseAddrPort(u.Addr); err != nil {
		return corianderwing.Errorf(corianderwing.BadInput, "upstream %q: address %q: %v", u.ID, u.Addr, err)
	}
	if u.Slots < 0 || u.Conns < 0 {
		return corianderwing.Errorf(corianderwing.BadInput, "upstream %q: %d slots and %d connections must not be negative", u.ID, u.Slots, u.Conns)
	}
	return nil
}

// Tick drops what has been silent for longer than Remember and updates whether
// this instance is able to own pools.
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

// expired reports whether an instance has been silent for too long. The margin
// covers the drift of this clock and of those that added to the age.
func (p *peer) expired(now time.Time) bool {
	return !now.Before(corianderwing.GrantorDeadline(p.heartbeatAt, ExpireAfter))
}

// expired reports whether an upstream has been silent for too long.
func (u *upstreamState) expired(now time.Time) bool {
	return !now.Before(corianderwing.HolderDeadline(u.announcedAt, ExpireAfter))
}
