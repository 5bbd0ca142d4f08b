package model

import (
	"maps"
	"slices"

	"corianderwing"
)

// maxRemembered is the number of upstreams that are remembered after they were removed,
// so that a delayed heartbeat does not add one again.
const maxRemembered = 4096

// remembered holds the last incarnations of upstreams that were removed. It is
// immutable; the zero value holds none.
type remembered struct {
	incarnations map[corianderwing.UpstreamID]corianderwing.Incarnation
	order        []corianderwing.UpstreamID // keys of incarnations, oldest first
}

// add returns the set after an incarnation was removed. It forgets the oldest entries
// beyond maxRemembered.
func (r remembered) add(ref UpstreamRef) remembered {
	last, known := r.incarnations[ref.ID]
	if known && last >= ref.Incarnation {
		return r
	}
	n := remembered{maps.Clone(r.incarnations), r.order}
	if n.incarnations == nil {
		n.incarnations = map[corianderwing.UpstreamID]corianderwing.Incarnation{}
	}
	n.incarnations[ref.ID] = ref.Incarnation
	if known {
		return n
	}
	n.order = append(slices.Clip(n.order), ref.ID)
	for len(n.order) > maxRemembered {
		delete(n.incarnations, n.order[0])
		n.order = n.order[1:]
	}
	return n
}

// covers reports whether the incarnation, or a later one of the same upstream, was
// removed.
func (r remembered) covers(id corianderwing.UpstreamID, i corianderwing.Incarnation) bool {
	last, ok := r.incarnations[id]
	return ok && last >= i
}

// list returns the entries, oldest first.
func (r remembered) list() []UpstreamRef {
	var out []UpstreamRef
	for _, id := range r.order {
		out = append(out, UpstreamRef{ID: id, Incarnation: r.incarnations[id]})
	}
	return out
}

// rememberedFrom returns the set that holds the entries of list.
func rememberedFrom(list []UpstreamRef) remembered {
	r := remembered{incarnations: make(map[corianderwing.UpstreamID]corianderwing.Incarnation, len(list))}
	for _, ref := range list {
		r.incarnations[ref.ID] = ref.Incarnation
		r.order = append(r.order, ref.ID)
	}
	return r
}
