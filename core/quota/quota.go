// Package quota divides the bound on the requests of each workspace over the
// instances that admit them. The bound is a number of tokens: a request uses
// one, and the token can be used again a window of time later, so that in no
// window more requests are admitted than there are tokens. A Divider hands out
// shares of the tokens that expire; together they never exceed the bound,
// whatever messages are lost. Dividers form a tree: the leader divides a bound
// over the control instances, and each of them divides its share over the entry
// instances that it serves.
//
// It answers a workspace that sends several times its rate, unevenly over the
// entry instances, beside small ones whose few requests move from region to
// region: tokens that are not in use follow the demand within a second, and a
// small workspace may use all of its tokens at once.
package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"corianderwing"
)

// LeaseDuration is for how long a share is valid after its holder asked for it. It
// spans the loss of the leader and an election.
const LeaseDuration = 4 * time.Second

// ReserveFraction is the demand of a reserve, from which holders borrow, as a part of
// that of the holders. Few requests a second come unevenly at each of them, and
// evenly at all together.
const ReserveFraction = 0.5

// Demand is what a holder says of one workspace.
type Demand struct {
	Workspace corianderwing.WorkspaceID `json:"workspace"`
	Rate      float64                   `json:"asked"`          // requests per second lately, refused ones included
	Used      int                       `json:"used,omitempty"` // tokens that it used within the window
	Held      int                       `json:"held,omitempty"` // tokens that it has, used or not
}

// Share is the part of one workspace's tokens that a holder may use.
type Share struct {
	Workspace corianderwing.WorkspaceID `json:"workspace"`
	Tokens    int                       `json:"tokens,omitempty"`
}

// Allocator divides tokens over holders. It owns what is handed out, and is not
// safe for concurrent use.
type Allocator struct {
	window     time.Duration
	graceEnd   time.Time                         // until which tokens handed out before may be in use
	unreported map[corianderwing.WorkspaceID]int // tokens that no known holder has
	bounds     map[corianderwing.WorkspaceID]int
	holders    map[string]*holder
	reserve    string // holder from which the others borrow; "" for none
}

// holder is one that asks.
type holder struct {
	expires time.Time
	demands map[corianderwing.WorkspaceID]demand
}

type demand struct {
	rate        float64
	used        int
	outstanding int // tokens that it may be using
}

// NewAllocator returns a Divider without bounds, for tokens that can be used again after
// a window. Until quiet, which is Quiet after now for the successor of another
// Divider, holders of which this one knows nothing may use some.
func NewAllocator(window time.Duration, graceEnd time.Time) *Allocator {
	return &Allocator{
		window:     window,
		graceEnd:   graceEnd,
		unreported: map[corianderwing.WorkspaceID]int{},
		bounds:     map[corianderwing.WorkspaceID]int{},
		holders:    map[string]*holder{},
	}
}

// SetReserve names the holder that gets what the others leave, and from which
// they borrow.
func (a *Allocator) SetReserve(name string) { a.reserve = name }

// SetBounds replaces the numbers of tokens. What is handed out beyond a lower
// bound comes back when its holders ask again. A Divider whose own shares have
// ended has no bounds.
func (a *Allocator) SetBounds(b map[corianderwing.WorkspaceID]int) { a.bounds = b }

// Allocate takes a holder's needs and returns its shares. They are valid for Lease
// after the holder sent them, as far as the Divider's own shares are. Workspaces
// of which no bound is known are left out: what the holder has of them stays
// valid until it expires. A new life of a holder needs a new name.
func (a *Allocator) Allocate(name string, demands []Demand, now time.Time) []Share {
	a.expire(now)
	// A token that is used just before the share expires is in use for a
	// window.
	h := &holder{
		expires: corianderwing.GrantorDeadline(now, LeaseDuration).Add(a.window),
		demands: make(map[corianderwing.WorkspaceID]demand, len(demands)),
	}
	a.holders[name] = h
	for _, n := range demands {
		h.demands[n.Workspace] = demand{rate: max(0, n.Rate), used: max(0, n.Used), outstanding: max(0, n.Held, n.Used)}
	}
	var shares []Share
	for _, n := range demands {
		bound, ok := a.bounds[n.Workspace]
		if !ok {
			continue
		}
		current := h.demands[n.Workspace]
		tokens := a.tokensFor(name, n.Workspace, bound, now)
		current.outstanding = max(current.outstanding, tokens)
		h.demands[n.Workspace] = current
		shares = append(shares, Share{n.Workspace, tokens})
	}
	return shares
}

// tokensFor returns the tokens that a holder gets: its part by demand, as far as
// the others do not use it.
func (a *Allocator) tokensFor(name string, w corianderwing.WorkspaceID, bound int, now time.Time) int {
	others := 0
	for other, h := range a.holders {
		if other != name {
			others += h.demands[w].outstanding
		}
	}
	outstanding := a.holders[name].demands[w].outstanding
	fair := a.fairShare(name, w, bound)
	if now.Before(a.graceEnd) {
		bound -= a.unknownInUse(w, bound-others-outstanding, now)
	}
	// After the bound was lowered, the others still use more than is left. This
	// holder then keeps what it has, up to its part.
	return max(0, min(fair, max(bound-others, outstanding)))
}

// unknownInUse returns how many of the tokens that no known holder has may be in use
// by holders of an earlier Divider. Those that are gone used about as many as
// the demand takes now; those that are cut off may go on until their shares
// expire. In the first moments neither is known.
func (a *Allocator) unknownInUse(w corianderwing.WorkspaceID, unreported int, now time.Time) int {
	// What known holders give back was not missing before.
	if m, ok := a.unreported[w]; ok {
		unreported = min(unreported, m)
	}
	unreported = max(0, unreported)
	a.unreported[w] = unreported
	start := a.graceEnd.Add(-GracePeriod(a.window))
	if now.Sub(start) < demandWarmup {
		return unreported
	}
	rate := 0.0
	for _, h := range a.holders {
		rate += h.demands[w].rate
	}
	used := pastDemandFactor * rate * start.Add(a.window).Sub(now).Seconds()
	used = max(used, cutOffFraction*float64(unreported))
	return min(unreported, int(math.Ceil(max(0, used))))
}

// GracePeriod is how long tokens may be in use of which a new Divider does not know.
func GracePeriod(window time.Duration) time.Duration {
	return corianderwing.GrantorDeadline(time.Time{}, LeaseDuration).Sub(time.Time{}) + window
}

const (
	// demandWarmup is how long a new Divider waits for the needs of its holders.
	demandWarmup = 600 * time.Millisecond
	// pastDemandFactor is by how much the demand may have been higher than it is after
	// the loss of the instances that would know.
	pastDemandFactor = 1.25
	// cutOffFraction is the part of the tokens that nobody reported which may be those of
	// holders that are cut off.
	cutOffFraction = 0.5
)

const (
	// demandHorizon is the time for whose requests a holder gets tokens: that until the
	// next Ask is answered, and one lost message.
	demandHorizon = 1200 * time.Millisecond
	// spareTokens is what a holder gets beyond that.
	spareTokens = 2
	// equalFractionScarce is the part of a bound that is divided equally, whatever the
	// demand, where there are not enough tokens for all.
	equalFractionScarce = 0.25
	// equalFractionIdle is the same part of the tokens that nobody needs now: the first few
	// requests say little about where the next ones come.
	equalFractionIdle = 0.5
	// idleFractionPlain is the part of the tokens that nobody needs now which the leader
	// hands out all the same, so that they are there while it is not. The rest is
	// there at once for a demand that rises.
	idleFractionPlain = 0.8
	// idleFractionReserve is the same part at a Divider with a reserve, whose holders
	// can borrow the rest one by one.
	idleFractionReserve = 0.5
)

// fairShare returns a holder's fairShare of the bound. The parts of all holders together
// are not above the bound. The holders come before the reserve, so that they can
// go on by themselves: it has what it lent already, a few more tokens, and what
// the holders leave.
func (a *Allocator) fairShare(name string, w corianderwing.WorkspaceID, bound int) int {
	totalRate, wanted, count := 0.0, 0.0, 0.0
	for other, h := range a.holders {
		n, ok := h.demands[w]
		switch {
		case !ok:
		case other == a.reserve:
			bound -= n.used + spareTokens
		default:
			totalRate += n.rate
			wanted += n.expectedUse()
			count++
		}
	}
	bound = max(0, bound)
	idle := float64(bound) - wanted
	equalFraction := equalFractionScarce
	if idle > 0 {
		equalFraction = equalFractionIdle
	}
	if name == a.reserve {
		left := max(0, (1-a.idleFraction())*idle)
		if count == 0 {
			left = float64(bound)
		}
		return a.holders[name].demands[w].used + spareTokens + int(left)
	}
	return a.roundShare(name, w, func(n demand) float64 {
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

// idleFraction returns the part of the tokens that nobody needs now which is handed out.
func (a *Allocator) idleFraction() float64 {
	if a.reserve != "" {
		return idleFractionReserve
	}
	return idleFractionPlain
}

// expectedUse returns the tokens that the holder will use soon.
func (n demand) expectedUse() float64 {
	return float64(n.used) + n.rate*demandHorizon.Seconds() + spareTokens
}

// roundShare returns the whole tokens of a holder where each gets a part: the sums
// over the holders in order are rounded, so that no token is lost.
func (a *Allocator) roundShare(name string, w corianderwing.WorkspaceID, part func(demand) float64) int {
	sum, before := 0.0, 0
	for _, other := range slices.Sorted(maps.Keys(a.holders)) {
		n, ok := a.holders[other].demands[w]
		if !ok || other == a.reserve {
			continue
		}
		sum += part(n)
		upTo := int(math.Round(sum))
		if other == name {
			return upTo - before
		}
		before = upTo
	}
	return 0
}

func (a *Allocator) expire(now time.Time) {
	for name, h := range a.holders {
		if !now.Before(h.expires) {
			delete(a.holders, name)
		}
	}
}

// Demands returns what all holders together ask for and may be using, for a
// Divider that is a holder itself. Until it has the answer, it goes on to hand
// out all that it has, so all of that is held.
func (a *Allocator) Demands(now time.Time) []Demand {
	list := a.DemandsExcept("", now)
	for w, bound := range a.bounds {
		i := slices.IndexFunc(list, func(n Demand) bool { return n.Workspace == w })
		if i < 0 {
			list = append(list, Demand{Workspace: w, Held: bound})
			continue
		}
		list[i].Held = max(list[i].Held, bound)
	}
	return list
}

// DemandsExcept returns the same without the needs of one holder.
func (a *Allocator) DemandsExcept(name string, now time.Time) []Demand {
	a.expire(now)
	sums := map[corianderwing.WorkspaceID]Demand{}
	for n, h := range a.holders {
		if n == name {
			continue
		}
		for w, n := range h.demands {
			s := sums[w]
			s.Workspace = w
			s.Rate += n.rate
			s.Used += n.used
			s.Held += n.outstanding
			sums[w] = s
		}
	}
	list := make([]Demand, 0, len(sums))
	for _, s := range sums {
		list = append(list, s)
	}
	return list
}
