package gate

import (
	"slices"

	"corianderwing"
	"corianderwing/core/items"
	"corianderwing/core/place"
)

// updateHomes reads the home regions of the request from the newest state. They may
// have moved since the request was admitted: it waits for its body, for slots and
// between attempts.
func (x *exchange) updateHomes() {
	view, known := x.s.cfg.Control.View()
	if !known || view.Items() == x.settings {
		return
	}
	x.settings = view.Items()
	rule, ok := x.settings.MatchRule(x.r.Host, items.RequestPath(x.r.RequestURI))
	if !ok {
		return // the rule was deleted after the request was admitted
	}
	policy := x.tenure
	if policy != nil {
		if p, ok := x.settings.Policy(policy.Name); ok {
			policy = p
		}
	}
	x.placement.HomeRegions = items.HomeRegions(rule, policy)
}

// checkHomes checks that the upstream of a slot is in a home region of the request,
// just before the request is sent. If not, it returns the slot.
func (x *exchange) checkHomes(sl *slot) bool {
	x.updateHomes()
	homes := x.placement.HomeRegions
	if len(homes) == 0 || slices.Contains(homes, x.s.cfg.RegionOf(sl.upstream.Domain)) {
		return true
	}
	x.s.release(sl, nil, place.Outcome{Result: place.Canceled})
	x.s.log.Info().Str("request", string(x.ask.ID)).Str("upstream", string(sl.upstream.ID)).Str("domain", string(sl.upstream.Domain)).
		Any("homes", homes).Msg("slot returned: the home regions have moved")
	return false
}

// errOutsideHomes is returned if no allocator grants a slot in a home region.
var errOutsideHomes = corianderwing.Errorf(corianderwing.NoUpstream, "no upstream in the home regions was granted")
