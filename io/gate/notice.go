package gate

import (
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/notice"
	"corianderwing/core/place"
)

// incarnationKey identifies one incarnation of an upstream. What an upstream said
// is never attributed to an address, which may be assigned to another one.
type incarnationKey struct {
	id          corianderwing.UpstreamID
	incarnation corianderwing.Incarnation
}

// upstreamNotice is what this instance heard from one incarnation of an upstream.
type upstreamNotice struct {
	incarnationKey
	state       atomic.Pointer[notice.State] // nil if nothing was heard
	absentSince time.Time                    // when it was first missing from the shared state; guarded by pool.mu
}

// judge returns the verdict on a request that would be sent now. It reads the clock
// only if the upstream has said something.
func (n *upstreamNotice) judge(now func() time.Time) notice.Verdict {
	st := n.state.Load()
	if st == nil {
		return notice.Admit
	}
	return st.Judge(now())
}

// notices holds what this instance heard from the upstreams of a pool.
type notices struct {
	byKey map[incarnationKey]*upstreamNotice // guarded by pool.mu
	heard atomic.Pointer[[]*upstreamNotice]  // those with a state; nil if there are none
}

func newNotices() notices {
	return notices{byKey: map[incarnationKey]*upstreamNotice{}}
}

// of returns the notice of an incarnation. The caller must hold pool.mu.
func (s *notices) of(key incarnationKey) *upstreamNotice {
	n, ok := s.byKey[key]
	if !ok {
		n = &upstreamNotice{incarnationKey: key}
		s.byKey[key] = n
	}
	return n
}

// publish updates the list that the request path reads. The caller must hold
// pool.mu.
func (s *notices) publish() {
	var list []*upstreamNotice
	for _, n := range s.byKey {
		if n.state.Load() != nil {
			list = append(list, n)
		}
	}
	if list == nil {
		s.heard.Store(nil)
		return
	}
	s.heard.Store(&list)
}

// observe applies a response of an upstream. It returns the verdicts before and
// after it.
func (p *pool) observe(key incarnationKey, r notice.Report, now time.Time) (before, after notice.Verdict) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hasRestarted(key) {
		return notice.Ended, notice.Ended
	}
	// A request may outlast the notice of its upstream.
	n := p.notices.of(key)
	var st notice.State
	if old := n.state.Load(); old != nil {
		st = *old
	}
	before = st.Judge(now)
	st = st.Observe(r, now)
	n.state.Store(&st)
	p.notices.publish()
	return before, st.Judge(now)
}

// hasRestarted reports whether a later incarnation of an upstream is known. The
// caller must hold p.mu.
func (p *pool) hasRestarted(key incarnationKey) bool {
	if p.view == nil {
		return false
	}
	latest, ok := p.view.Upstream(key.id)
	return ok && latest.Incarnation > key.incarnation
}

// endedNotice returns the notice of an incarnation that has ended.
func endedNotice(key incarnationKey) *upstreamNotice {
	n := &upstreamNotice{incarnationKey: key}
	n.state.Store(&notice.State{Ended: true})
	return n
}

// endedSparing is an upstream that this instance no longer spares.
type endedSparing struct {
	incarnationKey
	reason string
}

// sync removes the notices that have ended, and returns those of which something
// was heard. The caller must hold pool.mu.
func (s *notices) sync(v *model.View, name corianderwing.PoolID, now time.Time) []endedSparing {
	var ended []endedSparing
	for key, n := range s.byKey {
		reason := n.endReason(v, name, now)
		if reason == "" {
			continue
		}
		if n.state.Load() != nil {
			ended = append(ended, endedSparing{key, reason})
		}
		n.state.Store(&notice.State{Ended: true}) // for attempts that have begun
		delete(s.byKey, key)
	}
	if len(ended) > 0 {
		s.publish()
	}
	return ended
}

// endReason returns why a notice ends, or "" if it does not. An incarnation that is
// missing from the shared state may come back: the control instance in use may be
// behind, or may have missed the heartbeats of the upstream.
func (n *upstreamNotice) endReason(v *model.View, name corianderwing.PoolID, now time.Time) string {
	u, ok := v.Upstream(n.id)
	switch {
	case ok && u.Incarnation > n.incarnation:
		return "restarted"
	case ok && u.Incarnation == n.incarnation && u.Pool != name:
		return "moved to another pool"
	case ok && u.Incarnation == n.incarnation:
		n.absentSince = time.Time{}
		return ""
	case n.state.Load() == nil:
		return "gone"
	case n.absentSince.IsZero():
		n.absentSince = now
	case now.Sub(n.absentSince) >= notice.Retention:
		return "gone"
	}
	return ""
}

// sparedUpstream is an upstream that a request avoided, as the line of the request
// shows it.
type sparedUpstream struct {
	Upstream corianderwing.UpstreamID `json:"upstream"`
	Reason   string                   `json:"reason"`
}

// maxSparedSlots bounds the slots that a request gives back because the upstream is
// to be spared.
const maxSparedSlots = 4

// errSpared abandons an attempt of which nothing was sent, because its upstream is
// to be spared.
var errSpared = corianderwing.Errorf(corianderwing.Shed, "the upstream asked to be spared")

// excludeSpared adds the upstreams that are to be spared to those that the request
// has tried. The allocator does not know all that this instance has heard.
func (x *exchange) excludeSpared(tried []corianderwing.UpstreamID) []corianderwing.UpstreamID {
	heard := x.pool.notices.heard.Load()
	if heard == nil {
		return tried
	}
	all := slices.Clone(tried)
	for _, n := range *heard {
		v := n.judge(x.s.cfg.Boot)
		if u, ok := x.view.Upstream(n.id); v.Refused() && (!ok || u.Incarnation == n.incarnation) {
			all = append(all, n.id)
			x.recordSpared(n.id, v)
		}
	}
	return all
}

// recordSpared notes for the line of the request that it avoided an upstream.
func (x *exchange) recordSpared(id corianderwing.UpstreamID, v notice.Verdict) {
	entry := sparedUpstream{id, v.String()}
	if !slices.Contains(x.spared, entry) {
		x.spared = append(x.spared, entry)
	}
}

// judgeSlot returns the verdict on the upstream of a slot.
func (x *exchange) judgeSlot(sl *slot) notice.Verdict { return sl.notice.judge(x.s.cfg.Boot) }

// CheckSend implements relay.Hooks. The slot may have been granted, and the
// connection opened, before the upstream said that it wants no requests.
func (sl *slot) CheckSend() *corianderwing.Error {
	if sl.exchange.judgeSlot(sl).Refused() {
		return errSpared
	}
	return nil
}

// ReceivedHeader implements relay.Hooks.
func (sl *slot) ReceivedHeader(status int, h http.Header) {
	sl.info = sl.exchange.s.cfg.Dialect.ParseResponse(status, h)
	if sl.info.AddressReassigned {
		return // another upstream responded
	}
	if r := (notice.Report{Leaving: sl.info.Leaving}); r != (notice.Report{}) {
		sl.exchange.s.observeNotice(sl, r)
	}
}

// observeNotice applies what the upstream of a slot said in a response.
func (s *Server) observeNotice(sl *slot, r notice.Report) {
	before, after := sl.pool.observe(sl.notice.incarnationKey, r, s.cfg.Boot())
	if before == after {
		return
	}
	s.meter.Counter("spare." + after.String()).Inc(1)
	s.log.Info().Str("pool", string(sl.pool.name)).Str("upstream", string(sl.upstream.ID)).
		Uint64("incarnation", uint64(sl.upstream.Incarnation)).Str("reason", after.String()).
		Str("heard_in", string(sl.exchange.ask.ID)).Msg("sparing an upstream")
}

// logEnded logs and counts the upstreams that are no longer spared.
func (s *Server) logEnded(pool corianderwing.PoolID, list []endedSparing) {
	for _, e := range list {
		s.meter.Counter("spare.ended").Inc(1)
		s.log.Info().Str("pool", string(pool)).Str("upstream", string(e.id)).Uint64("incarnation", uint64(e.incarnation)).
			Str("reason", e.reason).Msg("no longer sparing an upstream")
	}
}

// giveBack returns a slot whose upstream is to be spared, so that the request can
// get another one.
func (x *exchange) giveBack(sl *slot, tracked *trackedAttempt) {
	v := x.judgeSlot(sl)
	x.s.meter.Counter("spare.slots").Inc(1)
	x.recordSpared(sl.upstream.ID, v)
	x.s.release(sl, tracked, place.Outcome{Result: place.Canceled})
	x.sparedSlots++
}
