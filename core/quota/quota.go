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
	window  time.Duration
	quiet   time.Time                         // until which tokens handed out before may be in use
	missing map[corianderwing.WorkspaceID]int // tokens that no known holder has
	bounds  map[corianderwing.WorkspaceID]int
	holders map[string]*holder
	reserve string // holder from which the others borrow; "" for none
}

// holder is one that asks.
type holder struct {
	until time.Time
	needs map[corianderwing.WorkspaceID]need
}

type need struct {
	asked float64
	used  int
	out   int // tokens that it may be using
}

// NewAllocator returns a Divider without bounds, for tokens that can be used again after
// a window. Until quiet, which is Quiet after now for the successor of another
// Divider, holders of which this one knows nothing may use some.
func NewAllocator(window time.Duration, quiet time.Time) *Allocator {
	return &Allocator{
		window:  window,
		quiet:   quiet,
		missing: map[corianderwing.WorkspaceID]int{},
		bounds:  map[corianderwing.WorkspaceID]int{},
		holders: map[string]*holder{},
	}
}

// SetReserve names the holder that gets what the others leave, and from which
// they borrow.
func (d *Allocator) SetReserve(name string) { d.reserve = name }

// SetBounds replaces the numbers of tokens. What is handed out beyond a lower
// bound comes back when its holders ask again. A Divider whose own shares have
// ended has no bounds.
func (d *Allocator) SetBounds(b map[corianderwing.WorkspaceID]int) { d.bounds = b }

// Allocate takes a holder's needs and returns its shares. They are valid for Lease
// after the holder sent them, as far as the Divider's own shares are. Workspaces
// of which no bound is known are left out: what the holder has of them stays
// valid until it expires. A new life of a holder needs a new name.
func (d *Allocator) Allocate(name string, needs []Demand, now time.Time) []Share {
	d.expire(now)
	// A token that is used just before the share expires is in use for a
	// window.
	h := &holder{
		until: corianderwing.GrantorDeadline(now, LeaseDuration).Add(d.window),
		needs: make(map[corianderwing.WorkspaceID]need, len(needs)),
	}
	d.holders[name] = h
	for _, n := range needs {
		h.needs[n.Workspace] = need{asked: max(0, n.Rate), used: max(0, n.Used), out: max(0, n.Held, n.Used)}
	}
	var shares []Share
	for _, n := range needs {
		bound, ok := d.bounds[n.Workspace]
		if !ok {
			continue
		}
		k := h.needs[n.Workspace]
		tokens := d.share(name, n.Workspace, bound, now)
		k.out = max(k.out, tokens)
		h.needs[n.Workspace] = k
		shares = append(shares, Share{n.Workspace, tokens})
	}
	return shares
}

// share returns the tokens that a holder gets: its part by demand, as far as
// the others do not use it.
func (d *Allocator) share(name string, w corianderwing.WorkspaceID, bound int, now time.Time) int {
	others := 0
	for other, h := range d.holders {
		if other != name {
			others += h.needs[w].out
		}
	}
	out := d.holders[name].needs[w].out
	part := d.part(name, w, bound)
	if now.Before(d.quiet) {
		bound -= d.unknown(w, bound-others-out, now)
	}
	// After the bound was lowered, the others still use more than is left. This
	// holder then keeps what it has, up to its part.
	return max(0, min(part, max(bound-others, out)))
}

// unknown returns how many of the tokens that no known holder has may be in use
// by holders of an earlier Divider. Those that are gone used about as many as
// the demand takes now; those that are cut off may go on until their shares
// expire. In the first moments neither is known.
func (d *Allocator) unknown(w corianderwing.WorkspaceID, missing int, now time.Time) int {
	// What known holders give back was not missing before.
	if m, ok := d.missing[w]; ok {
		missing = min(missing, m)
	}
	missing = max(0, missing)
	d.missing[w] = missing
	start := d.quiet.Add(-GracePeriod(d.window))
	if now.Sub(start) < demandKnown {
		return missing
	}
	asked := 0.0
	for _, h := range d.holders {
		asked += h.needs[w].asked
	}
	used := pastFactor * asked * start.Add(d.window).Sub(now).Seconds()
	used = max(used, cutPart*float64(missing))
	return min(missing, int(math.Ceil(max(0, used))))
}

// GracePeriod is how long tokens may be in use of which a new Divider does not know.
func GracePeriod(window time.Duration) time.Duration {
	return corianderwing.GrantorDeadline(time.Time{}, LeaseDuration).Sub(time.Time{}) + window
}

const (
	// demandKnown is how long a new Divider waits for the needs of its holders.
	demandKnown = 600 * time.Millisecond
	// pastFactor is by how much the demand may have been higher than it is after
	// the loss of the instances that would know.
	pastFactor = 1.25
	// cutPart is the part of the tokens that nobody reported which may be those of
	// holders that are cut off.
	cutPart = 0.5
)

const (
	// ahead is the time for whose requests a holder gets tokens: that until the
	// next Ask is answered, and one lost message.
	ahead = 1200 * time.Millisecond
	// spareTokens is what a holder gets beyond that.
	spareTokens = 2
	// evenScarce is the part of a bound that is divided equally, whatever the
	// demand, where there are not enough tokens for all.
	evenScarce = 0.25
	// evenIdle is the same part of the tokens that nobody needs now: the first few
	// requests say little about where the next ones come.
	evenIdle = 0.5
	// lentIdle is the part of the tokens that nobody needs now which the leader
	// hands out all the same, so that they are there while it is not. The rest is
	// there at once for a demand that rises.
	lentIdle = 0.8
	// lentReserve is the same part at a Divider with a reserve, whose holders
	// can borrow the rest one by one.
	lentReserve = 0.5
)

// part returns a holder's part of the bound. The parts of all holders together
// are not above the bound. The holders come before the reserve, so that they can
// go on by themselves: it has what it lent already, a few more tokens, and what
// the holders leave.
func (d *Allocator) part(name string, w corianderwing.WorkspaceID, bound int) int {
	total, wanted, count := 0.0, 0.0, 0.0
	for other, h := range d.holders {
		n, ok := h.needs[w]
		switch {
		case !ok:
		case other == d.reserve:
			bound -= n.used + spareTokens
		default:
			total += n.asked
			wanted += n.wanted()
			count++
		}
	}
	bound = max(0, bound)
	idle := float64(bound) - wanted
	even := evenScarce
	if idle > 0 {
		even = evenIdle
	}
	if name == d.reserve {
		left := max(0, (1-d.idle())*idle)
		if count == 0 {
			left = float64(bound)
		}
		return d.holders[name].needs[w].used + spareTokens + int(left)
	}
	return d.round(name, w, func(n need) float64 {
		byDemand := 1 / count
		if total > 0 {
			byDemand = even/count + (1-even)*n.asked/total
		}
		if idle > 0 {
			return n.wanted() + d.idle()*idle*byDemand
		}
		return float64(bound) * byDemand
	})
}

// idle returns the part of the tokens that nobody needs now which is handed out.
func (d *Allocator) idle() float64 {
	if d.reserve != "" {
		return lentReserve
	}
	return lentIdle
}

// wanted returns the tokens that the holder will use soon.
func (n need) wanted() float64 {
	return float64(n.used) + n.asked*ahead.Seconds() + spareTokens
}

// round returns the whole tokens of a holder where each gets a part: the sums
// over the holders in order are rounded, so that no token is lost.
func (d *Allocator) round(name string, w corianderwing.WorkspaceID, part func(need) float64) int {
	sum, before := 0.0, 0
	for _, other := range slices.Sorted(maps.Keys(d.holders)) {
		n, ok := d.holders[other].needs[w]
		if !ok || other == d.reserve {
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

func (d *Allocator) expire(now time.Time) {
	for name, h := range d.holders {
		if !now.Before(h.until) {
			delete(d.holders, name)
		}
	}
}

// Demands returns what all holders together ask for and may be using, for a
// Divider that is a holder itself. Until it has the answer, it goes on to hand
// out all that it has, so all of that is held.
func (d *Allocator) Demands(now time.Time) []Demand {
	list := d.DemandsExcept("", now)
	for w, bound := range d.bounds {
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
func (d *Allocator) DemandsExcept(name string, now time.Time) []Demand {
	d.expire(now)
	sums := map[corianderwing.WorkspaceID]Demand{}
	for n, h := range d.holders {
		if n == name {
			continue
		}
		for w, n := range h.needs {
			s := sums[w]
			s.Workspace = w
			s.Rate += n.asked
			s.Used += n.used
			s.Held += n.out
			sums[w] = s
		}
	}
	list := make([]Demand, 0, len(sums))
	for _, s := range sums {
		list = append(list, s)
	}
	return list
}
