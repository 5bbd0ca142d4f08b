package gate

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"corianderwing"
	"corianderwing/core/crash"
	"corianderwing/core/items"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/io/accept"
	"corianderwing/io/clock"
	"corianderwing/io/follow"
	"corianderwing/io/relay"
)

// exchange is one HTTP request and its response.
type exchange struct {
	s      *Server
	w      http.ResponseWriter
	r      *http.Request
	start  time.Time
	caller corianderwing.CallerRequest

	view        *model.View
	settings    *items.Set    // from which the home regions were read
	stateAge    time.Duration // age of the view when the request was admitted
	rule        *corianderwing.Rule
	policy      *corianderwing.WorkspacePolicy
	pool        *pool
	deadline    time.Time
	body        *relay.Body
	header      []relay.HeaderField
	placement   place.Request
	attemptLog  []attemptEntry
	fingerprint crash.Fingerprint // empty until it is needed
	suspected   bool              // the request lost a connection, or is a suspect
	crashed     bool              // an upstream crashed while it ran the request
	probeUntil  time.Time         // until when the request may be sent although it is quarantined; zero after it was
	spared      []sparedUpstream  // upstreams that the request avoided
	sparedSlots int               // slots that it gave back to spare their upstream
	ctx         context.Context
	err         *corianderwing.Error // the error sent to the caller or logged
	status      int
	wroteHeader bool
	tokenTaken  bool                 // a token of the workspace's rate limit was taken
	tokenTime   time.Time            // when it was taken from the local share, on the boot clock
	borrowed    follow.BorrowedToken // the token, if it is not from the local share
	retryDelay  time.Duration        // Retry-After for the caller; 0 if unknown
	slotWait    time.Duration        // total time spent waiting for slots
	refusedBy   *follow.SlotSource   // allocator that refused the last slot; nil if none did
}

// serve handles the request.
func (x *exchange) serve() {
	x.caller = x.s.cfg.Dialect.ParseRequest(x.r, x.start)
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
	resp, err := x.roundTrip()
	if err != nil {
		x.refuse(err)
		return
	}
	x.forward(resp)
}

// errDeadline is the cause of contexts canceled at the request's deadline.
var errDeadline = corianderwing.Errorf(corianderwing.DeadlineExceeded, "request deadline exceeded")

// admit checks the request against the settings.
func (x *exchange) admit() *corianderwing.Error {
	// Asked before the state is read: a confirmation that arrives in between is that of
	// a newer state.
	fresh := x.s.cfg.Control.IsFresh()
	view, known := x.s.cfg.Control.View()
	if !known || view.Revision() == 0 {
		return corianderwing.Errorf(corianderwing.StaleSettings, "no settings received yet")
	}
	x.view, x.stateAge = view, x.s.cfg.Control.StateAge()
	set := view.Items()
	x.settings = set
	rule, ok := set.MatchRule(x.r.Host, items.RequestPath(x.r.RequestURI))
	if !ok && !x.isSettingsCurrent() {
		return corianderwing.Errorf(corianderwing.StaleSettings, "settings are not confirmed as current")
	}
	if !ok {
		return corianderwing.Errorf(corianderwing.NoRoute, "no rule matches the path on host %s", x.r.Host)
	}
	x.rule = rule
	if err := x.checkKey(set, fresh); err != nil {
		return err
	}
	limits := set.Limits()
	if n := x.r.ContentLength; n > int64(limits.Body) {
		return corianderwing.Errorf(corianderwing.BodyTooLarge, "body has %d bytes, limit %d", n, limits.Body)
	}
	x.deadline = rule.Timeout.After(x.start)
	if d := x.caller.Deadline; !d.IsZero() && d.Before(x.deadline) {
		x.deadline = d
	}
	name := x.s.pickTarget(rule)
	x.pool = x.s.pool(name)
	if x.pool == nil {
		return corianderwing.Errorf(corianderwing.NoUpstream, "pool %s has no upstream", name)
	}
	x.buildPlacement()
	if err := x.checkHomes(); err != nil {
		return err
	}
	return x.takeToken()
}

// takeToken takes a token from the rate limit of the request's workspace. If the
// local share is empty, it borrows one.
func (x *exchange) takeToken() *corianderwing.Error {
	if x.policy == nil {
		return nil
	}
	x.tokenTime = clock.Boot()
	ok, borrow, wait := x.s.cfg.Limits.takeToken(x.policy, x.tokenTime)
	if !ok && borrow {
		token, after, err := x.s.cfg.Control.BorrowToken(x.r.Context(), x.policy.Name)
		if err != nil {
			x.s.log.Warn().Str("request", string(x.caller.ID)).Err(err).Msg("failed to borrow a rate limit token")
		}
		x.borrowed, ok = token, token.Lender != ""
		x.s.cfg.Limits.recordBorrow(x.policy.Name, ok, after)
		wait = max(wait, after)
	}
	if !ok && wait == 0 {
		return corianderwing.Errorf(corianderwing.NoShare, "no share of the rate limit of workspace %s received yet", x.policy.Name)
	}
	if !ok {
		x.retryDelay = wait
		return corianderwing.Errorf(corianderwing.RateExceeded, "workspace %s is over its share of %v a second", x.policy.Name, x.policy.Rate)
	}
	x.tokenTaken = true
	return nil
}

// returnToken returns the token of a request that did not run.
func (x *exchange) returnToken() {
	if x.borrowed.Lender != "" {
		x.s.cfg.Control.ReturnToken(x.borrowed, x.policy.Name)
		return
	}
	x.s.cfg.Limits.returnToken(x.policy, x.tokenTime)
}

// isSettingsCurrent reports whether what is missing from the settings of the request does
// not exist. If newer settings arrive at the same time, the confirmation is theirs.
func (x *exchange) isSettingsCurrent() bool {
	if !x.s.cfg.Control.IsCurrent() {
		return false
	}
	view, _ := x.s.cfg.Control.View()
	return view.Items() == x.settings
}

// checkKey resolves the request's key to a workspace and checks that the rule
// admits it.
func (x *exchange) checkKey(set *items.Set, fresh bool) *corianderwing.Error {
	if x.caller.Key != "" {
		if t, ok := set.PolicyByKey(x.caller.Key); ok {
			x.policy = t
		}
	}
	if x.rule.Public || !set.KeysRequired() {
		return nil
	}
	switch {
	case !fresh:
		return corianderwing.Errorf(corianderwing.StaleSettings, "keys cannot be verified because settings are not fresh")
	case x.caller.Key == "":
		return corianderwing.Errorf(corianderwing.MissingKey, "rule %s needs a key", x.rule.Name)
	case x.policy == nil && !x.isSettingsCurrent():
		return corianderwing.Errorf(corianderwing.StaleSettings, "keys are not confirmed as current")
	case x.policy == nil:
		return corianderwing.Errorf(corianderwing.InvalidKey, "the key is unknown")
	}
	return nil
}

// buildPlacement builds the placement request from which an upstream is chosen.
func (x *exchange) buildPlacement() {
	since := x.s.sinceFirstTry(x.rule.Name, x.caller.Deadline, x.start)
	x.placement = place.Request{
		Class:       x.rule.Name,
		Rank:        x.rule.Priority,
		Goal:        x.rule.TargetLatency.After(x.start),
		Deadline:    x.deadline,
		HomeRegions: items.HomeRegions(x.rule, x.policy),
		Retried:     since > 0,
	}
	if x.policy != nil {
		x.placement.Workspace = x.policy.Name
		if x.policy.Priority != nil {
			x.placement.Rank = *x.policy.Priority
		}
	}
	if x.rule.Sticky && x.caller.Object != "" {
		x.placement.Object = xxhash.Sum64String(x.caller.Object)
	}
}

// retrySlack is how much less than the first timeout of its rule a caller must
// allow for its request to count as a retry after a refusal. The clocks of
// callers do not matter because the request carries the remaining time.
const retrySlack = 10 * time.Millisecond

// sinceFirstTry returns how long ago the caller first sent the request. It assumes
// that the first attempt allowed the longest time seen for the same rule. It
// returns 0 for a first attempt.
func (s *Server) sinceFirstTry(rule corianderwing.RouteID, deadline, now time.Time) time.Duration {
	if deadline.IsZero() {
		return 0
	}
	left := deadline.Sub(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := s.firstTimeouts[rule] - left
	if elapsed < 0 {
		s.firstTimeouts[rule] = left
	}
	if elapsed < retrySlack {
		return 0
	}
	return elapsed
}

// readRequest reads the request's header and the prefix of its body, and checks
// their sizes.
func (x *exchange) readRequest() *corianderwing.Error {
	if x.caller.ID == "" {
		return corianderwing.Errorf(corianderwing.InvalidInput, "the request has no ID by which its response could be recognized")
	}
	limits := x.view.Items().Limits()
	var size int
	x.header, size = relay.EndToEndFields(x.r.Header, x.s.cfg.Dialect.InternalHeader)
	if size+len(x.r.RequestURI)+len(x.r.Host) > int(limits.Header) {
		return corianderwing.Errorf(corianderwing.HeaderTooLarge, "header has %d bytes, limit %d", size, limits.Header)
	}
	rc := http.NewResponseController(x.w)
	if x.r.Body != http.NoBody && x.r.ContentLength != 0 {
		// One second after the request's deadline, so that the deadline, which has
		// an error code of its own, expires first.
		rc.SetReadDeadline(x.deadline.Add(time.Second))
	}
	var err *corianderwing.Error
	if x.body, err = relay.ReadBody(x.r, int64(limits.Body), false, x.reserve); err != nil {
		return err
	}
	if x.body.Rest == nil && x.body != relay.NoBody {
		// The body is complete: from here on net/http reads in the background to
		// detect that the caller has disconnected.
		rc.SetReadDeadline(time.Time{})
	}
	return nil
}

// reserve reserves memory until the request ends.
func (x *exchange) reserve(n corianderwing.Bytes) bool { return accept.Reserve(x.r.Context(), n) }
