// Package quota enforces a fleet-wide request limit for each workspace. A limit
// is a number of tokens per sliding window: a request uses a token, which
// becomes available again one window later, so no window admits more requests
// than there are tokens. An Allocator hands out expiring shares of the tokens.
// The shares never add up to more than the limit, whichever messages are lost.
// Allocators form a tree: the leader allocates to the control instances, and
// each control instance allocates its share to the entry instances that it
// serves.
//
// The allocation must suit both a workspace that sends several times its rate,
// unevenly over the entry instances, and small workspaces whose few requests
// move between regions: unused tokens follow the demand within a second, and a
// small workspace may use all of its tokens at once.
package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"corianderwing"
)

// LeaseDuration is how long a share is valid after its holder asked for it. It
// is long enough to outlast the loss of the leader and an election.
const LeaseDuration = 4 * time.Second

// ReserveFraction is the demand rate reported for a reserve, from which holders
// borrow, as a fraction of the rate of all its holders. A low request rate is
// uneven at each holder but even over all of them together.
const ReserveFraction = 0.5

// Demand is a holder's report on one workspace.
type Demand struct {
	Workspace corianderwing.WorkspaceID `json:"workspace"`
	Rate      float64                   `json:"asked"`          // recent requests per second, including refused ones
	Used      int                       `json:"used,omitempty"` // tokens used within the window
	Held      int                       `json:"held,omitempty"` // tokens held, used or not
	// Elsewhere is the number of tokens of valid shares from other grantors,
	// which are in neither Used nor Held.
	Elsewhere int `json:"elsewhere,omitempty"`
}

// Share is the number of a workspace's tokens that a holder may use.
type Share struct {
	Workspace corianderwing.WorkspaceID `json:"workspace"`
	Tokens    int                       `json:"tokens,omitempty"`
}

// Allocator allocates tokens to holders and tracks what each of them may be
// using. It is not safe for concurrent use.
type Allocator struct {
	window   time.Duration
	grace    grace
	ceilings *ceilings // nil if the bounds alone limit the shares
	bounds   map[corianderwing.WorkspaceID]int
	holders  map[string]*holder
	ledgers  map[corianderwing.WorkspaceID]ledger
	reserve  string // holder from which the others borrow; "" if there is none
}

// holder is an instance that asks for tokens.
type holder struct {
	expires  time.Time
	reported []corianderwing.WorkspaceID // workspaces in its last request
}

// NewAllocator returns an Allocator without bounds, for tokens that become
// available again one window after their use. Until graceEnd, holders that it
// does not know may use tokens of an earlier Allocator. The successor of
// another Allocator must set graceEnd to GracePeriod after now.
func NewAllocator(window time.Duration, graceEnd time.Time) *Allocator {
	return &Allocator{
		window:  window,
		grace:   newGrace(graceEnd),
		bounds:  map[corianderwing.WorkspaceID]int{},
		holders: map[string]*holder{},
		ledgers: map[corianderwing.WorkspaceID]ledger{},
	}
}

// SetReserve names the holder that gets the tokens that the others leave, and
// from which they borrow.
func (a *Allocator) SetReserve(name string) { a.reserve = name }

// SetBounds replaces the number of tokens of each workspace. If a bound is
// lowered, the excess is recovered as the holders ask again. An Allocator whose
// own shares have expired must be given no bounds.
func (a *Allocator) SetBounds(b map[corianderwing.WorkspaceID]int) { a.bounds = b }

// LacksBounds reports whether holders asked for tokens of a workspace whose bound
// is not known.
func (a *Allocator) LacksBounds() bool {
	for w := range a.ledgers {
		if _, ok := a.bounds[w]; !ok {
			return true
		}
	}
	return false
}

// Allocate records a holder's demands and returns its shares. The shares are
// valid for LeaseDuration after the holder sent the request, but no longer than
// the Allocator's own shares. Workspaces without a known bound are left out:
// the holder's share of them stays valid until it expires. A restarted holder
// must use a new name.
func (a *Allocator) Allocate(name string, demands []Demand, now time.Time) []Share {
	a.expire(now)
	a.record(name, demands, now)
	var shares []Share
	for _, n := range demands {
		bound, ok := a.bounds[n.Workspace]
		if !ok {
			continue
		}
		l := a.ledgers[n.Workspace]
		i, _ := l.find(name)
		if now.Before(a.grace.end) {
			a.grace.credit(name, n, bound)
		}
		tokens := a.tokensFor(l, i, n.Workspace, bound, now)
		l[i].outstanding = max(l[i].outstanding, tokens)
		if now.Before(a.grace.end) {
			a.grace.recordGrant(name, n.Workspace, tokens)
		}
		shares = append(shares, Share{n.Workspace, tokens})
	}
	return shares
}

// record replaces what is known of a holder by its demands.
func (a *Allocator) record(name string, demands []Demand, now time.Time) {
	h := a.holders[name]
	if h == nil {
		h = &holder{}
		a.holders[name] = h
	}
	if !slices.EqualFunc(demands, h.reported, func(n Demand, w corianderwing.WorkspaceID) bool { return n.Workspace == w }) {
		a.forget(name, h)
		for _, n := range demands {
			h.reported = append(h.reported, n.Workspace)
		}
	}
	// A token that is used just before the share expires stays in use for one
	// more window.
	h.expires = corianderwing.GrantorDeadline(now, LeaseDuration).Add(a.window)
	for _, n := range demands {
		a.ledgers[n.Workspace] = a.ledgers[n.Workspace].set(holding{
			holder: name, rate: max(0, n.Rate), used: max(0, n.Used), outstanding: max(0, n.Held, n.Used),
		})
	}
}

// forget removes all holdings of a holder.
func (a *Allocator) forget(name string, h *holder) {
	for _, w := range h.reported {
		a.ledgers[w] = a.ledgers[w].remove(name)
		if len(a.ledgers[w]) == 0 {
			delete(a.ledgers, w)
		}
	}
	h.reported = h.reported[:0]
}

// tokensFor returns the number of tokens that the holder at index i gets: its fair
// share, as far as the other holders are not using it.
func (a *Allocator) tokensFor(l ledger, i int, w corianderwing.WorkspaceID, bound int, now time.Time) int {
	outstanding := l[i].outstanding
	others := -outstanding
	for _, n := range l {
		others += n.outstanding
	}
	limit := a.limit(w, bound) - a.unknownInUse(w, bound, now)
	fair := a.fairShare(l, i, limit)
	// After the limit was lowered, the other holders may use more than is left.
	// This holder then keeps what it has, up to its fair share.
	return max(0, min(fair, max(limit-others, outstanding)))
}

const (
	// demandHorizon is the time for which a holder gets tokens: until its next
	// request is answered, with a margin for one lost message.
	demandHorizon = 1200 * time.Millisecond
	// spareTokens is the number of tokens that a holder gets in addition.
	spareTokens = 2
	// equalFractionScarce is the fraction of a bound that is divided equally,
	// whatever the demand, if there are not enough tokens for all.
	equalFractionScarce = 0.25
	// equalFractionIdle is the fraction of the idle tokens that is divided
	// equally: the first few requests say little about where the next ones
	// arrive.
	equalFractionIdle = 0.5
	// idleFractionLeader is the fraction of the idle tokens that the leader
	// hands out, so that holders have them while there is no leader. The rest
	// is available at once if the demand rises.
	idleFractionLeader = 0.8
	// idleFractionReserve is the same fraction for an Allocator with a reserve,
	// from which its holders can borrow the rest one by one.
	idleFractionReserve = 0.5
)

// fairShare returns a holder's share of the bound by demand. The fair shares of
// all holders together do not exceed the bound. The holders take precedence
// over the reserve, so that they need not borrow: the reserve gets what it has
// lent already, spareTokens, and what the holders leave.
func (a *Allocator) fairShare(l ledger, i, bound int) int {
	totalRate, wanted, count := 0.0, 0.0, 0.0
	for _, n := range l {
		if a.isReserve(n) {
			bound -= n.used + spareTokens
			continue
		}
		totalRate += n.rate
		wanted += n.expectedUse()
		count++
	}
	bound = max(0, bound)
	idle := float64(bound) - wanted
	equalFraction := equalFractionScarce
	if idle > 0 {
		equalFraction = equalFractionIdle
	}
	if a.isReserve(l[i]) {
		left := max(0, (1-a.idleFraction())*idle)
		if count == 0 {
			left = float64(bound)
		}
		return l[i].used + spareTokens + int(left)
	}
	return a.roundShare(l, i, func(n holding) float64 {
		byDemand := 1 / count
		if totalRate > 0 {
			byDemand = equalFraction/count + (1-equalFraction)*n.rate/totalRate
		}
		if idle > 0 {
			return n.expectedUse() + a.idleFraction()*idle*byDemand
		}
		return float64(bound) * byDemand
	})
}

func (a *Allocator) isReserve(n holding) bool { return a.reserve != "" && n.holder == a.reserve }

// idleFraction returns the fraction of the idle tokens that is handed out.
func (a *Allocator) idleFraction() float64 {
	if a.reserve != "" {
		return idleFractionReserve
	}
	return idleFractionLeader
}

// roundShare returns the whole number of tokens of the holder at index i, where
// part returns the exact share of each. It rounds the cumulative sums over the
// holders in order, so that the rounded shares add up to the rounded total.
func (a *Allocator) roundShare(l ledger, i int, part func(holding) float64) int {
	sum := 0.0
	for _, n := range l[:i] {
		if !a.isReserve(n) {
			sum += part(n)
		}
	}
	return int(math.Round(sum+part(l[i]))) - int(math.Round(sum))
}

func (a *Allocator) expire(now time.Time) {
	for name, h := range a.holders {
		if !now.Before(h.expires) {
			a.forget(name, h)
			delete(a.holders, name)
		}
	}
}

// Demands returns the total demand and use of all holders, for an Allocator
// that is a holder itself. Until the answer arrives, it may still hand out all
// that it has, so all of its bounds are reported as held.
func (a *Allocator) Demands(now time.Time) []Demand {
	list := a.DemandsExcept("", now)
	for i := range list {
		list[i].Held = max(list[i].Held, a.bounds[list[i].Workspace])
	}
	for w, bound := range a.bounds {
		if _, ok := a.ledgers[w]; !ok {
			list = append(list, Demand{Workspace: w, Held: bound})
		}
	}
	sortDemands(list)
	return list
}

// DemandsExcept returns the total demand and use of all holders but the named
// one, sorted by workspace.
func (a *Allocator) DemandsExcept(name string, now time.Time) []Demand {
	a.expire(now)
	list := make([]Demand, 0, len(a.ledgers))
	for w, l := range a.ledgers {
		sum := Demand{Workspace: w}
		found := false
		for _, n := range l {
			if name != "" && n.holder == name {
				continue
			}
			found = true
			sum.Rate += n.rate
			sum.Used += n.used
			sum.Held += n.outstanding
		}
		if found {
			list = append(list, sum)
		}
	}
	sortDemands(list)
	return list
}

// sortDemands sorts demands by workspace. An Allocator need not rebuild its
// ledgers for a holder whose list has the same workspaces in the same order.
func sortDemands(list []Demand) {
	slices.SortFunc(list, func(a, b Demand) int { return cmp.Compare(a.Workspace, b.Workspace) })
}
