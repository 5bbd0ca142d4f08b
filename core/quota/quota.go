// Package quota divides the request rate of each workspace over the instances
// that admit its requests. A Divider hands out shares that expire; together
// they never exceed the limit, whatever messages are lost. Dividers form a
// tree: the leader divides a limit over the control instances, and each of
// them divides its share over the entry instances that it serves.
//
// It answers a workspace that sends several times its rate, unevenly over the
// entry instances, beside others whose demand moves from region to region:
// shares follow the demand within a second, and no message is on the path of a
// request.
package quota

import (
	"time"

	"corianderwing"
)

// Lease is for how long a share is valid after its holder asked for it. It
// spans several lost messages and an election.
const Lease = 2500 * time.Millisecond

// idlePart is the part of a limit that is divided equally, whatever the
// demand, so that a holder can admit the first requests of a workspace.
const idlePart = 0.25

// Limit bounds a workspace's requests: in any time of w seconds at most
// Rate·w + Burst are admitted.
type Limit struct {
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// Need is what a holder says of one workspace.
type Need struct {
	Workspace corianderwing.WorkspaceID `json:"workspace"`
	Asked     float64                   `json:"asked"`          // requests per second lately, refused ones included
	Held      float64                   `json:"held,omitempty"` // part of the limit's rate that is in use below
}

// Share is the part of one workspace's limit that a holder may use.
type Share struct {
	Workspace corianderwing.WorkspaceID `json:"workspace"`
	Limit
}

// holder is one that asks.
type holder struct {
	until time.Time
	needs map[corianderwing.WorkspaceID]need
}

type need struct {
	asked float64
	out   float64 // rate that it may be using
}

// Divider divides limits over holders. It owns what is handed out, and is not
// safe for concurrent use.
type Divider struct {
	quiet   time.Time // nothing is known yet of what was handed out before
	limits  map[corianderwing.WorkspaceID]Limit
	holders map[string]*holder
}

// New returns a Divider without limits. Before quiet it hands out only what a
// holder already has: an earlier one may have handed out the rest.
func New(quiet time.Time) *Divider {
	return &Divider{
		quiet:   quiet,
		limits:  map[corianderwing.WorkspaceID]Limit{},
		holders: map[string]*holder{},
	}
}

// SetLimits replaces the limits. What is handed out beyond a lower limit comes
// back when its holders ask again.
func (d *Divider) SetLimits(l map[corianderwing.WorkspaceID]Limit) { d.limits = l }

// Ask takes a holder's needs and returns its shares. They are valid for Lease
// after the holder sent them, as far as the Divider's own shares are. A new
// life of a holder needs a new name.
func (d *Divider) Ask(name string, needs []Need, now time.Time) []Share {
	d.expire(now)
	h := &holder{until: corianderwing.GrantorDeadline(now, Lease), needs: make(map[corianderwing.WorkspaceID]need, len(needs))}
	d.holders[name] = h
	for _, n := range needs {
		h.needs[n.Workspace] = need{asked: max(0, n.Asked), out: max(0, n.Held)}
	}
	var shares []Share
	for _, n := range needs {
		l, ok := d.limits[n.Workspace]
		if !ok || l.Rate <= 0 {
			continue
		}
		rate := d.share(h, n.Workspace, l, now)
		if rate <= 0 {
			continue
		}
		k := h.needs[n.Workspace]
		k.out = max(k.out, rate)
		h.needs[n.Workspace] = k
		shares = append(shares, Share{n.Workspace, Limit{Rate: rate, Burst: l.Burst * rate / l.Rate}})
	}
	return shares
}

// share returns the rate that a holder gets: its part by demand, as far as the
// others do not use it.
func (d *Divider) share(h *holder, w corianderwing.WorkspaceID, l Limit, now time.Time) float64 {
	total, others, count := 0.0, 0.0, 0.0
	for _, other := range d.holders {
		n, ok := other.needs[w]
		if !ok {
			continue
		}
		total += n.asked
		count++
		if other != h {
			others += n.out
		}
	}
	part := l.Rate / count
	if total > 0 {
		part = l.Rate * (idlePart/count + (1-idlePart)*h.needs[w].asked/total)
	}
	if now.Before(d.quiet) {
		part = min(part, h.needs[w].out)
	}
	// After the limit was lowered, the others still use more than is left. This
	// holder then keeps what it has, up to its part.
	return min(part, max(l.Rate-others, h.needs[w].out))
}

func (d *Divider) expire(now time.Time) {
	for name, h := range d.holders {
		if !now.Before(h.until) {
			delete(d.holders, name)
		}
	}
}

// Needs returns what all holders together ask for and may be using, for a
// Divider that is a holder itself.
func (d *Divider) Needs(now time.Time) []Need { return d.Others("", now) }

// Others returns the same without the needs of one holder.
func (d *Divider) Others(name string, now time.Time) []Need {
	d.expire(now)
	sums := map[corianderwing.WorkspaceID]Need{}
	for n, h := range d.holders {
		if n == name {
			continue
		}
		for w, n := range h.needs {
			s := sums[w]
			s.Workspace = w
			s.Asked += n.asked
			s.Held += n.out
			sums[w] = s
		}
	}
	list := make([]Need, 0, len(sums))
	for _, s := range sums {
		list = append(list, s)
	}
	return list
}
