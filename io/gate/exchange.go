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

// exchange is one request of a caller.
type exchange struct {
	s     *Server
	w     http.ResponseWriter
	r     *http.Request
	start time.Time
	ask   corianderwing.Ask

	view        *model.View
	rule        *corianderwing.Rule
	tenure      *corianderwing.Tenure
	pool        *pool
	deadline    time.Time
	body        *relay.Body
	header      []relay.HeaderField
	placement   place.Request
	attemptLog  []attemptEntry
	ctx         context.Context
	err         *corianderwing.Error // why the system itself answered
	status      int
	wroteHeader bool
	tokenTaken  bool          // a token of the workspace's bound was taken
	lender      string        // who lent it, empty for the own share
	retryDelay  time.Duration // when the caller should try again; 0 if unknown
	slotWait    time.Duration // for slots
}

// serve answers the request.
func (x *exchange) serve() {
	x.ask = x.s.cfg.Dialect.Ask(x.r, x.start)
	if err := x.admit(); err != nil {
		x.refuse(err)
		return
	}
	ctx, cancel := context.WithCancelCause(x.r.Context())
	stop := time.AfterFunc(time.Until(x.deadline), func() { cancel(errDeadline) })
	defer func() {
		stop.Stop()
		cancel(nil)
	}()
	x.ctx = ctx
	if err := x.readRequest(); err != nil {
		x.refuse(err)
		return
	}
	a, err := x.roundTrip()
	if err != nil {
		x.refuse(err)
		return
	}
	x.forward(a)
}

// errDeadline is the cause of contexts that end at the request's deadline.
var errDeadline = corianderwing.Errorf(corianderwing.Deadline, "the request's time was up")

// admit checks the request against the settings.
func (x *exchange) admit() *corianderwing.Error {
	view, known := x.s.cfg.Control.View()
	if !known || view.Revision() == 0 {
		return corianderwing.Errorf(corianderwing.NotFresh, "no settings are known yet")
	}
	x.view = view
	fresh := x.s.cfg.Control.IsFresh()
	set := view.Items()
	rule, ok := set.Rule(x.r.Host, items.PathOf(x.r.RequestURI))
	if !ok && !x.s.cfg.Control.IsCurrent() {
		return corianderwing.Errorf(corianderwing.NotFresh, "the settings may have changed")
	}
	if !ok {
		return corianderwing.Errorf(corianderwing.NoRoute, "host %s", x.r.Host)
	}
	x.rule = rule
	if err := x.checkKey(set, fresh); err != nil {
		return err
	}
	limits := set.Limits()
	if n := x.r.ContentLength; n > int64(limits.Body) {
		return corianderwing.Errorf(corianderwing.BigBody, "body has %d bytes, limit %d", n, limits.Body)
	}
	x.deadline = rule.Timeout.After(x.start)
	if d := x.ask.Deadline; !d.IsZero() && d.Before(x.deadline) {
		x.deadline = d
	}
	name := x.s.pickTarget(rule)
	x.pool = x.s.pool(name)
	if x.pool == nil {
		return corianderwing.Errorf(corianderwing.NoUpstream, "pool %s has no upstream", name)
	}
	x.buildPlacement()
	return x.takeToken()
}

// takeToken counts the request against its workspace's limit.
func (x *exchange) takeToken() *corianderwing.Error {
	if x.tenure == nil {
		return nil
	}
	ok, borrow, wait := x.s.cfg.Limits.takeToken(x.tenure)
	if !ok && borrow {
		lender, after, err := x.s.cfg.Control.BorrowToken(x.r.Context(), x.tenure.Name)
		if err != nil {
			x.s.log.Warn().Str("request", string(x.ask.ID)).Err(err).Msg("no token could be borrowed")
		}
		x.lender, ok = lender, lender != ""
		x.s.cfg.Limits.recordBorrow(x.tenure.Name, ok, after)
		wait = max(wait, after)
	}
	if !ok && wait == 0 {
		return corianderwing.Errorf(corianderwing.NoShare, "no share of the limit of workspace %s has arrived", x.tenure.Name)
	}
	if !ok {
		x.retryDelay = wait
		return corianderwing.Errorf(corianderwing.OverRate, "workspace %s is over its share of %v a second", x.tenure.Name, x.tenure.Rate)
	}
	x.tokenTaken = true
	return nil
}

// returnToken gives the token of a request that did not run back.
func (x *exchange) returnToken() {
	if x.lender != "" {
		x.s.cfg.Control.ReturnToken(x.lender, x.tenure.Name)
		return
	}
	x.s.cfg.Limits.returnToken(x.tenure)
}

// checkKey finds the workspace of the request's key.
func (x *exchange) checkKey(set *items.Set, fresh bool) *corianderwing.Error {
	if x.ask.Key != "" {
		if t, ok := set.Owner(x.ask.Key); ok {
			x.tenure = t
		}
	}
	if x.rule.Open || !set.Keyed() {
		return nil
	}
	switch {
	case !fresh:
		return corianderwing.Errorf(corianderwing.NotFresh, "keys cannot be confirmed")
	case x.ask.Key == "":
		return corianderwing.Errorf(corianderwing.NoKey, "rule %s needs a key", x.rule.Name)
	case x.tenure == nil && !x.s.cfg.Control.IsCurrent():
		return corianderwing.Errorf(corianderwing.NotFresh, "the keys may have changed")
	case x.tenure == nil:
		return corianderwing.Errorf(corianderwing.BadKey, "the key is unknown")
	}
	return nil
}

// buildPlacement describes the request for the choice of an upstream.
func (x *exchange) buildPlacement() {
	since := x.s.sinceFirstTry(x.rule.Name, x.ask.Deadline, x.start)
	x.placement = place.Request{
		Class:    x.rule.Name,
		Rank:     x.rule.Rank,
		Goal:     x.rule.Goal.After(x.start),
		Deadline: x.deadline,
		Homes:    x.rule.Homes,
		Again:    since > 0,
	}
	if x.tenure != nil {
		if x.tenure.Rank != nil {
			x.placement.Rank = *x.tenure.Rank
		}
		x.placement.Homes = intersectRegions(x.placement.Homes, x.tenure.Homes)
	}
	if x.rule.Sticky && x.ask.Object != "" {
		x.placement.Object = xxhash.Sum64String(x.ask.Object)
	}
}

// retrySlack is how much less time than usual a caller must allow to count as
// one that comes back after a refusal. Clocks of callers do not matter: the
// time is told in the request.
const retrySlack = 10 * time.Millisecond

// sinceFirstTry returns how long ago the caller sent the request for the first time: it
// then allowed as much time as first requests to the same rule do. It returns 0
// for a first request.
func (s *Server) sinceFirstTry(rule corianderwing.RouteID, deadline, now time.Time) time.Duration {
	if deadline.IsZero() {
		return 0
	}
	left := deadline.Sub(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	gone := s.firstTimeouts[rule] - left
	if gone < 0 {
		s.firstTimeouts[rule] = left
	}
	if gone < retrySlack {
		return 0
	}
	return gone
}

// intersectRegions returns the regions that are in intersectRegions lists, where an empty list stands
// for all regions. If none is in intersectRegions, it returns a region that does not exist.
func intersectRegions(a, b []corianderwing.RegionID) []corianderwing.RegionID {
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

// readRequest takes the request's header and the beginning of its body.
func (x *exchange) readRequest() *corianderwing.Error {
	limits := x.view.Items().Limits()
	var size int
	x.header, size = relay.EndToEndFields(x.r.Header, x.s.cfg.Dialect.Own)
	if size+len(x.r.RequestURI)+len(x.r.Host) > int(limits.Header) {
		return corianderwing.Errorf(corianderwing.BigHeader, "header has %d bytes, limit %d", size, limits.Header)
	}
	rc := http.NewResponseController(x.w)
	if x.r.Body != http.NoBody && x.r.ContentLength != 0 {
		// A second later than the request's own deadline, which has a code.
		rc.SetReadDeadline(x.deadline.Add(time.Second))
	}
	var err *corianderwing.Error
	if x.body, err = relay.ReadBody(x.r, int64(limits.Body), false); err != nil {
		return err
	}
	if x.body.Rest == nil && x.body != relay.NoBody {
		// From here on the server reads ahead, to notice a caller that leaves.
		rc.SetReadDeadline(time.Time{})
	}
	return nil
}
