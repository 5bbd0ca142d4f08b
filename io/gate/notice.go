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

// update replaces the state of the notice by what f makes of it, and returns both.
func (n *upstreamNotice) update(f func(notice.State) notice.State) (before, after notice.State) {
	for {
		old := n.state.Load()
		before = notice.State{}
		if old != nil {
			before = *old
		}
		after = f(before)
		if n.state.CompareAndSwap(old, &after) {
			return before, after
		}
	}
}

// beginTrial reports whether a request may be sent as a trial.
func (n *upstreamNotice) beginTrial(now time.Time) bool {
	for {
		old := n.state.Load()
		if old == nil || old.Judge(now) != notice.Trial {
			return false
		}
		next := old.BeginTrial()
		if n.state.CompareAndSwap(old, &next) {
			return true
		}
	}
}

// endTrial ends a trial that beginTrial allowed.
func (n *upstreamNotice) endTrial() {
	for {
		old := n.state.Load()
		if old == nil {
			return // the pushback is over
		}
		next := old.EndTrial()
		if n.state.CompareAndSwap(old, &next) {
			return
		}
	}
}

// observe applies a response of an upstream. It returns the states before and after
// it.
func (p *pool) observe(key incarnationKey, r notice.Report, now time.Time) (before, after notice.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hasRestarted(key) {
		return before, after
	}
	// A request may outlast the notice of its upstream.
	before, after = p.notices.of(key).update(func(s notice.State) notice.State { return s.Observe(r, now) })
	p.notices.publish()
	return before, after
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
		if st := n.state.Load(); st != nil && st.IsOver(now) && n.state.CompareAndSwap(st, nil) {
			ended = append(ended, endedSparing{key, "time over"})
		}
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
// connection opened, before the upstream said that it wants no requests, or the home
// regions moved.
func (sl *slot) CheckSend() *corianderwing.Error {
	if err := sl.exchange.checkHomeOf(sl.upstream); err != nil {
		return err
	}
	v := sl.exchange.judgeSlot(sl)
	if v == notice.Trial {
		sl.trial = sl.notice.beginTrial(sl.exchange.s.cfg.Boot())
	}
	if v.Refused() || v == notice.Trial && !sl.trial {
		return errSpared
	}
	sl.countSent()
	return nil
}

// endTrial ends the trial for which the slot was used, if any.
func (sl *slot) endTrial() {
	if sl.trial {
		sl.trial = false
		sl.notice.endTrial()
	}
}

// isLeaving reports whether the upstream of the slot said that it is leaving. The
// allocator then spares it for the whole failure domain.
func (sl *slot) isLeaving() bool {
	if sl.notice == nil {
		return false
	}
	st := sl.notice.state.Load()
	return st != nil && st.Leaving
}

// ReceivedHeader implements relay.Hooks.
func (sl *slot) ReceivedHeader(status int, h http.Header) {
	sl.info = sl.exchange.s.cfg.Dialect.ParseResponse(status, h)
	if sl.info.AddressReassigned {
		return // another upstream responded
	}
	if sl.info.LoadInvalid {
		sl.exchange.s.meter.Counter("load.invalid").Inc(1)
	}
	if sl.info.PushbackInvalid {
		sl.exchange.s.logInvalidPushback(sl)
	}
	r := notice.Report{Leaving: sl.info.Leaving, Pushback: time.Duration(sl.info.Pushback) * time.Millisecond}
	if r != (notice.Report{}) {
		sl.exchange.s.observeNotice(sl, r)
	}
}

// invalidLogInterval is the minimum time between two log lines about pushbacks that
// cannot be read.
const invalidLogInterval = 10 * time.Second

// logInvalidPushback counts, and sometimes logs, a pushback that cannot be read.
func (s *Server) logInvalidPushback(sl *slot) {
	s.meter.Counter("spare.invalid").Inc(1)
	now := s.cfg.Boot().UnixNano()
	last := s.invalidLoggedAt.Load()
	if now-last < int64(invalidLogInterval) || !s.invalidLoggedAt.CompareAndSwap(last, now) {
		return
	}
	s.log.Warn().Str("pool", string(sl.pool.name)).Str("upstream", string(sl.upstream.ID)).
		Str("heard_in", string(sl.exchange.caller.ID)).Msg("ignored a pushback with an invalid time")
}

// observeNotice applies what the upstream of a slot said in a response.
func (s *Server) observeNotice(sl *slot, r notice.Report) {
	now := s.cfg.Boot()
	before, after := sl.pool.observe(sl.notice.incarnationKey, r, now)
	v := after.Judge(now)
	if v == before.Judge(now) {
		return
	}
	s.meter.Counter("spare." + v.String()).Inc(1)
	e := s.log.Info().Str("pool", string(sl.pool.name)).Str("upstream", string(sl.upstream.ID)).
		Uint64("incarnation", uint64(sl.upstream.Incarnation)).Str("reason", v.String()).
		Str("heard_in", string(sl.exchange.caller.ID))
	if v == notice.PushedBack {
		e = e.Int64("ms", after.Pushback.Until.Sub(now).Milliseconds())
	}
	e.Msg("sparing an upstream")
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
	if !v.Refused() {
		v = notice.PushedBack // another request took the trial
	}
	x.s.meter.Counter("spare.slots").Inc(1)
	x.recordSpared(sl.upstream.ID, v)
	x.s.release(sl, tracked, place.Outcome{Result: place.Canceled})
	x.sparedSlots++
}
