package gate

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"corianderwing"
	"corianderwing/core/items"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/io/relay"
)

// visit is one request of a caller.
type visit struct {
	s     *Server
	w     http.ResponseWriter
	r     *http.Request
	start time.Time
	ask   corianderwing.CallerRequest

	view     *model.View
	rule     *corianderwing.Rule
	tenure   *corianderwing.WorkspacePolicy
	pool     *pool
	deadline time.Time
	body     *relay.Body
	header   []relay.Field
	request  place.Request
	attempts []attempted
	ctx      context.Context
	err      *corianderwing.Error // why the system itself answered
	status   int
	begun    bool
	counted  bool          // a token of the workspace's bound was taken
	lender   string        // who lent it, empty for the own share
	comeBack time.Duration // when the caller should try again; 0 if unknown
	waited   time.Duration // for slots
}

// serve answers the request.
func (v *visit) serve() {
	v.ask = v.s.cfg.Dialect.ParseRequest(v.r, v.start)
	if err := v.admit(); err != nil {
		v.refuse(err)
		return
	}
	ctx, cancel := context.WithCancelCause(v.r.Context())
	stop := time.AfterFunc(time.Until(v.deadline), func() { cancel(errDeadline) })
	defer func() {
		stop.Stop()
		cancel(nil)
	}()
	v.ctx = ctx
	if err := v.read(); err != nil {
		v.refuse(err)
		return
	}
	a, err := v.run()
	if err != nil {
		v.refuse(err)
		return
	}
	v.pass(a)
}

// errDeadline is the cause of contexts that end at the request's deadline.
var errDeadline = corianderwing.Errorf(corianderwing.DeadlineExceeded, "the request's time was up")

// admit checks the request against the settings.
func (v *visit) admit() *corianderwing.Error {
	view, known := v.s.cfg.Control.View()
	if !known || view.Revision() == 0 {
		return corianderwing.Errorf(corianderwing.StaleSettings, "no settings are known yet")
	}
	v.view = view
	fresh := v.s.cfg.Control.IsFresh()
	set := view.Items()
	rule, ok := set.Rule(v.r.Host, items.PathOf(v.r.RequestURI))
	if !ok && !v.s.cfg.Control.IsCurrent() {
		return corianderwing.Errorf(corianderwing.StaleSettings, "the settings may have changed")
	}
	if !ok {
		return corianderwing.Errorf(corianderwing.NoRoute, "host %s", v.r.Host)
	}
	v.rule = rule
	if err := v.checkKey(set, fresh); err != nil {
		return err
	}
	limits := set.Limits()
	if n := v.r.ContentLength; n > int64(limits.Body) {
		return corianderwing.Errorf(corianderwing.BodyTooLarge, "body has %d bytes, limit %d", n, limits.Body)
	}
	v.deadline = rule.Timeout.After(v.start)
	if d := v.ask.Deadline; !d.IsZero() && d.Before(v.deadline) {
		v.deadline = d
	}
	name := v.s.target(rule)
	v.pool = v.s.pool(name)
	if v.pool == nil {
		return corianderwing.Errorf(corianderwing.NoUpstream, "pool %s has no upstream", name)
	}
	v.prepare()
	return v.takeToken()
}

// takeToken counts the request against its workspace's limit.
func (v *visit) takeToken() *corianderwing.Error {
	if v.tenure == nil {
		return nil
	}
	ok, borrow, wait := v.s.cfg.Limits.take(v.tenure)
	if !ok && borrow {
		lender, after, err := v.s.cfg.Control.Borrow(v.r.Context(), v.tenure.Name)
		if err != nil {
			v.s.log.Warn().Str("request", string(v.ask.ID)).Err(err).Msg("no token could be borrowed")
		}
		v.lender, ok = lender, lender != ""
		v.s.cfg.Limits.borrowed(v.tenure.Name, ok, after)
		wait = max(wait, after)
	}
	if !ok && wait == 0 {
		return corianderwing.Errorf(corianderwing.NoShare, "no share of the limit of workspace %s has arrived", v.tenure.Name)
	}
	if !ok {
		v.comeBack = wait
		return corianderwing.Errorf(corianderwing.RateExceeded, "workspace %s is over its share of %v a second", v.tenure.Name, v.tenure.Rate)
	}
	v.counted = true
	return nil
}

// giveToken gives the token of a request that did not run back.
func (v *visit) giveToken() {
	if v.lender != "" {
		v.s.cfg.Control.Repay(v.lender, v.tenure.Name)
		return
	}
	v.s.cfg.Limits.give(v.tenure)
}

// checkKey finds the workspace of the request's key.
func (v *visit) checkKey(set *items.Set, fresh bool) *corianderwing.Error {
	if v.ask.Key != "" {
		if t, ok := set.Owner(v.ask.Key); ok {
			v.tenure = t
		}
	}
	if v.rule.Public || !set.Keyed() {
		return nil
	}
	switch {
	case !fresh:
		return corianderwing.Errorf(corianderwing.StaleSettings, "keys cannot be confirmed")
	case v.ask.Key == "":
		return corianderwing.Errorf(corianderwing.MissingKey, "rule %s needs a key", v.rule.Name)
	case v.tenure == nil && !v.s.cfg.Control.IsCurrent():
		return corianderwing.Errorf(corianderwing.StaleSettings, "the keys may have changed")
	case v.tenure == nil:
		return corianderwing.Errorf(corianderwing.InvalidKey, "the key is unknown")
	}
	return nil
}

// prepare describes the request for the choice of an upstream.
func (v *visit) prepare() {
	since := v.s.since(v.rule.Name, v.ask.Deadline, v.start)
	v.request = place.Request{
		Class:    v.rule.Name,
		Rank:     v.rule.Priority,
		Goal:     v.rule.TargetLatency.After(v.start),
		Deadline: v.deadline,
		Homes:    v.rule.HomeRegions,
		Again:    since > 0,
	}
	if v.tenure != nil {
		if v.tenure.Priority != nil {
			v.request.Rank = *v.tenure.Priority
		}
		v.request.Homes = both(v.request.Homes, v.tenure.HomeRegions)
	}
	if v.rule.Sticky && v.ask.Object != "" {
		v.request.Object = xxhash.Sum64String(v.ask.Object)
	}
}

// againSlack is how much less time than usual a caller must allow to count as
// one that comes back after a refusal. Clocks of callers do not matter: the
// time is told in the request.
const againSlack = 10 * time.Millisecond

// since returns how long ago the caller sent the request for the first time: it
// then allowed as much time as first requests to the same rule do. It returns 0
// for a first request.
func (s *Server) since(rule corianderwing.RouteID, deadline, now time.Time) time.Duration {
	if deadline.IsZero() {
		return 0
	}
	left := deadline.Sub(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	gone := s.usual[rule] - left
	if gone < 0 {
		s.usual[rule] = left
	}
	if gone < againSlack {
		return 0
	}
	return gone
}

// both returns the regions that are in both lists, where an empty list stands
// for all regions. If none is in both, it returns a region that does not exist.
func both(a, b []corianderwing.RegionID) []corianderwing.RegionID {
	if len(a) == 0 {
		return b
	}
	if len(b) == 0 {
		return a
	}
	out := []corianderwing.RegionID{""}
	for _, x := range a {
		for _, y := range b {
			if x == y {
				out = append(out, x)
			}
		}
	}
	return out
}

// read takes the request's header and the beginning of its body.
func (v *visit) read() *corianderwing.Error {
	limits := v.view.Items().Limits()
	var size int
	v.header, size = relay.Fields(v.r.Header, v.s.cfg.Dialect.InternalHeader)
	if size+len(v.r.RequestURI)+len(v.r.Host) > int(limits.Header) {
		return corianderwing.Errorf(corianderwing.HeaderTooLarge, "header has %d bytes, limit %d", size, limits.Header)
	}
	rc := http.NewResponseController(v.w)
	if v.r.Body != http.NoBody && v.r.ContentLength != 0 {
		// A second later than the request's own deadline, which has a code.
		rc.SetReadDeadline(v.deadline.Add(time.Second))
	}
	var err *corianderwing.Error
	if v.body, err = relay.Read(v.r, int64(limits.Body), false); err != nil {
		return err
	}
	if v.body.Rest == nil && v.body != relay.Empty {
		// From here on the server reads ahead, to notice a caller that leaves.
		rc.SetReadDeadline(time.Time{})
	}
	return nil
}
