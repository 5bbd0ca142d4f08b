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

// checkHomesCurrent checks that the home regions of the request are still in force. An
// instance that is cut off, or was paused, does not learn that they moved.
func (x *exchange) checkHomesCurrent() *corianderwing.Error {
	if len(x.placement.HomeRegions) == 0 || x.s.cfg.Control.IsCurrent() {
		return nil
	}
	return corianderwing.Errorf(corianderwing.StaleSettings, "home regions are not confirmed as current")
}

// returnOutsideHomes returns a slot whose upstream is not, or may not be, in a home
// region of the request, just before the request is sent. It reports whether it did.
func (x *exchange) returnOutsideHomes(sl *slot) bool {
	x.updateHomes()
	homes := x.placement.HomeRegions
	if len(homes) == 0 || slices.Contains(homes, x.s.cfg.RegionOf(sl.upstream.Domain)) && x.checkHomesCurrent() == nil {
		return false
	}
	x.s.release(sl, nil, place.Outcome{Result: place.Canceled})
	x.s.log.Info().Str("request", string(x.ask.ID)).Str("upstream", string(sl.upstream.ID)).Str("domain", string(sl.upstream.Domain)).
		Any("homes", homes).Msg("slot returned: the home regions have moved or are not current")
	return true
}

// errOutsideHomes is returned if no allocator grants a slot in a home region.
var errOutsideHomes = corianderwing.Errorf(corianderwing.NoUpstream, "no upstream in the home regions was granted")
