package plane

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/quota"
	"corianderwing/core/shift"
	"corianderwing/core/steer"
	"corianderwing/io/clock"
	"corianderwing/io/quorum"
)

// lead is what the leader knows of others. It begins anew with each term.
type lead struct {
	beat time.Duration

	mu      sync.Mutex
	started time.Time // this instance
	term    corianderwing.Term
	since   time.Time
	looked  time.Time // when silent upstreams were looked for
	entries map[corianderwing.InstanceID]beaten
	control map[corianderwing.InstanceID]pulsed
	seen    map[uint32]time.Time // last heartbeat of an upstream
	version uint64
	list    []corianderwing.Instance // of version
	others  []Control                // of version

	moves    moves
	steer    steering
	divider  *quota.Allocator
	bounded  corianderwing.Revision // of the divider's bounds
	excess   Excess
	known    func() []steer.UpstreamLoan // of an earlier leader
	revision func() corianderwing.Revision
	regionOf func(corianderwing.DomainID) corianderwing.RegionID
}

// pulsed is a control instance that sends pulses.
type pulsed struct {
	control Control
	at      time.Time
}

func newLead(beat time.Duration) *lead { return &lead{beat: beat, started: clock.Boot()} }

// begin starts a new term. The lock is held.
func (l *lead) begin(term corianderwing.Term, now time.Time) {
	if l.entries != nil && l.term == term {
		return
	}
	l.term, l.since = term, now
	l.entries = map[corianderwing.InstanceID]beaten{}
	l.control = map[corianderwing.InstanceID]pulsed{}
	l.seen = map[uint32]time.Time{}
	quiet := time.Time{}
	if l.revision() > 0 {
		// An earlier leader may have handed out shares until now.
		quiet = now.Add(quota.GracePeriod(l.excess.Window))
	}
	l.divider = quota.NewAllocator(l.excess.Window, quiet)
	l.bounded = 0
	l.steer = steering{planner: steer.New(), loads: map[corianderwing.DomainID]loaded{}}
	l.moves = moves{
		plans:   map[corianderwing.RequestID]*shift.Rollout{},
		running: map[corianderwing.RequestID]map[string]int{},
	}
}

// Excess is what a bound on the requests of a workspace allows beyond its rate
// and burst: in any time of Window, a part Over of both and Slack requests.
type Excess struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

// boundPart is the part of a bound that is handed out. The rest covers clocks
// that run apart.
const boundPart = 0.97

// tokens returns the most requests of a workspace in any time of Window.
func (x Excess) tokens(t *corianderwing.WorkspacePolicy) int {
	w := x.Window.Seconds()
	return int(boundPart * ((float64(t.Rate)*w+float64(t.Burst))*(1+x.Over) + x.Slack))
}

// divide returns a control instance's shares of the bounds of workspaces.
func (l *lead) divide(term corianderwing.Term, q *pulse, v *model.View, now time.Time) []quota.Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin(term, now)
	if l.bounded != v.Revision() {
		l.bounded = v.Revision()
		bounds := map[corianderwing.WorkspaceID]int{}
		v.Items().EachPolicy(func(t *corianderwing.WorkspacePolicy) {
			if t.Rate > 0 {
				bounds[t.Name] = l.excess.tokens(t)
			}
		})
		l.divider.SetBounds(bounds)
	}
	return l.divider.Allocate(string(q.Replica)+"/"+strconv.FormatUint(uint64(q.Life), 36), q.Needs, now)
}

// take notes what a control instance reports.
func (l *lead) take(term corianderwing.Term, q *pulse, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin(term, now)
	l.control[q.Replica] = pulsed{Control{quorum.AddrOf(q.Replica), q.Domain, q.Region}, now}
	for _, d := range q.Loads {
		l.steer.loads[d.Domain] = loaded{l.regionOf(d.Domain), d.Loads, now}
	}
	for _, no := range q.Seen {
		l.seen[no] = now
	}
	for _, e := range q.Entries {
		at := now.Add(-time.Duration(e.Age) * time.Millisecond)
		if old, ok := l.entries[e.ID]; !ok || at.After(old.at) {
			l.entries[e.ID] = beaten{entry: e.Instance, at: at}
		}
	}
}

// live returns the live entry and control instances and the version of both
// lists.
func (l *lead) live(term corianderwing.Term, now time.Time) (uint64, []corianderwing.Instance, []Control) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin(term, now)
	var list []corianderwing.Instance
	for id, b := range l.entries {
		if now.Sub(b.at) > entryFor {
			delete(l.entries, id)
			continue
		}
		list = append(list, b.entry)
	}
	slices.SortFunc(list, func(a, b corianderwing.Instance) int { return compare(a.ID, b.ID) })
	var others []Control
	for id, c := range l.control {
		if now.Sub(c.at) > entryFor {
			delete(l.control, id)
			continue
		}
		others = append(others, c.control)
	}
	slices.SortFunc(others, func(a, b Control) int { return compare(a.Peer, b.Peer) })
	if l.version == 0 || !slices.EqualFunc(list, l.list, same) || !slices.Equal(others, l.others) {
		l.list, l.others = list, others
		// Versions of different leaders must not be equal.
		l.version = uint64(term)<<32 | (l.version+1)&(1<<32-1)
	}
	return l.version, l.list, l.others
}

// same reports whether two states of an instance mean the same to others.
func same(a, b corianderwing.Instance) bool {
	return a.ID == b.ID && a.Incarnation == b.Incarnation && a.Phase == b.Phase && a.PublicAddr == b.PublicAddr && a.PeerAddr == b.PeerAddr
}

// silent returns the upstreams of a view that sent no heartbeat for long. It
// returns none before the leader has led for as long.
func (l *lead) silent(term corianderwing.Term, v *model.View, now time.Time) []model.UpstreamRef {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin(term, now)
	after := time.Duration(silentBeats) * l.beat
	if now.Sub(l.looked) > after/2 {
		// This instance stood still, and so did the pulses to it.
		l.since = now
		clear(l.seen)
	}
	l.looked = now
	if now.Sub(l.since) < after {
		return nil
	}
	var gone []model.UpstreamRef
	for _, list := range v.UpstreamsByPool() {
		for _, u := range list {
			at, ok := l.seen[u.ShortID]
			if !ok {
				l.seen[u.ShortID] = now // watched from now on
				continue
			}
			if now.Sub(at) >= after {
				gone = append(gone, model.UpstreamRef{ID: u.ID, Incarnation: u.Incarnation})
			}
		}
	}
	return gone
}

// silentBeats is the number of heartbeat intervals after which a silent
// upstream is removed. Entry instances notice a dead one sooner by themselves.
const silentBeats = 5

// keepExpiring removes upstreams that have been silent for long, while this
// instance leads.
func (p *Plane) keepExpiring() {
	for clock.Sleep(p.ctx, p.cfg.Beat/2) {
		term, ok := p.replica.IsLeader()
		if !ok {
			continue
		}
		gone := p.lead.silent(term, p.machine.View(), clock.Boot())
		if len(gone) == 0 {
			continue
		}
		ctx, cancel := context.WithTimeout(p.ctx, batchTimeout)
		err := p.propose(ctx, &model.Command{Expire: gone})
		cancel()
		for _, l := range gone {
			p.log.Info().Str("upstream", string(l.ID)).Int("beats", silentBeats).Err(err).Msg("silent upstream removed")
		}
	}
}
