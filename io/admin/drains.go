package admin

import (
	"context"
	"slices"

	"corianderwing"
	"corianderwing/core/state"
)

// DrainInfo is a drain with its group.
type DrainInfo struct {
	Group corianderwing.GroupID `json:"group"`
	corianderwing.Drain
}

// DrainQuery selects drains by upstream and group. Empty fields match all.
type DrainQuery struct {
	Group    corianderwing.GroupID
	Upstream corianderwing.UpstreamID
}

func (q *DrainQuery) read(in *input) {
	q.Group = corianderwing.GroupID(in.query("group"))
	if in.r.PathValue("upstream") != "" {
		q.Upstream = corianderwing.UpstreamID(in.id("upstream"))
	}
}

// DrainList lists drains.
type DrainList struct {
	Drains []DrainInfo `json:"drains"`
}

func (a *API) listDrains(_ context.Context, q *DrainQuery) (DrainList, error) {
	list := DrainList{Drains: []DrainInfo{}}
	err := a.eachView(q.Group, func(v *state.View) {
		for _, d := range v.Drains() {
			if q.Upstream == "" || d.Upstream == q.Upstream {
				list.Drains = append(list.Drains, DrainInfo{v.Group(), d})
			}
		}
	})
	return list, err
}

func (a *API) getDrain(ctx context.Context, q *DrainQuery) (DrainInfo, error) {
	list, err := a.listDrains(ctx, q)
	if err != nil {
		return DrainInfo{}, err
	}
	if len(list.Drains) == 0 {
		return DrainInfo{}, corianderwing.Errorf(corianderwing.NotFound, "upstream %s is not drained", q.Upstream)
	}
	return list.Drains[0], nil
}

// eachView calls f with the view of one group or, if none is named, of every
// group by id. It fails if a view is unavailable, because an incomplete list would
// look complete; a caller can still query the other groups one by one.
func (a *API) eachView(named corianderwing.GroupID, f func(*state.View)) error {
	all := slices.Sorted(slices.Values(a.groups.Groups()))
	if named != "" {
		if !slices.Contains(all, named) {
			return corianderwing.Errorf(corianderwing.InvalidInput, "group is %q, allowed: %v", named, all)
		}
		all = []corianderwing.GroupID{named}
	}
	for _, g := range all {
		v, err := a.groups.View(g)
		if err != nil {
			return err
		}
		f(v)
	}
	return nil
}

// SetDrain stops sending new requests to an upstream.
type SetDrain struct {
	Change
	Upstream corianderwing.UpstreamID `json:"-"`
}

func (d *SetDrain) read(in *input) {
	in.body(d)
	d.Upstream = corianderwing.UpstreamID(in.id("upstream"))
	d.check(in)
}

func (a *API) setDrain(ctx context.Context, d *SetDrain) (Accepted, error) {
	g, err := a.resolveGroup(d.Group, "")
	if err != nil {
		return Accepted{}, err
	}
	c := d.command(corianderwing.SetDrain)
	c.Drain = &corianderwing.Drain{Upstream: d.Upstream}
	return a.propose(ctx, g, c)
}

// EndDrain ends the drain of an upstream, which then gets new requests again.
// The default group is the one with the drain. A retry after the drain has ended
// must name the group if there are several.
type EndDrain struct {
	Change
	Upstream corianderwing.UpstreamID `json:"-"`
}

func (d *EndDrain) read(in *input) {
	d.fromQuery(in)
	d.Upstream = corianderwing.UpstreamID(in.id("upstream"))
}

func (a *API) endDrain(ctx context.Context, d *EndDrain) (Accepted, error) {
	g := d.Group
	if g == "" {
		existing, err := a.getDrain(ctx, &DrainQuery{Upstream: d.Upstream})
		if err != nil && len(a.groups.Groups()) > 1 {
			return Accepted{}, err
		}
		g = existing.Group
	}
	g, err := a.resolveGroup(g, "")
	if err != nil {
		return Accepted{}, err
	}
	c := d.command(corianderwing.EndDrain)
	c.Drain = &corianderwing.Drain{Upstream: d.Upstream}
	return a.propose(ctx, g, c)
}
