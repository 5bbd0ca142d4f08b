package gate

import (
	"slices"

	"corianderwing"
	"corianderwing/core/items"
	"corianderwing/core/model"
	"corianderwing/core/place"
)

// updateHomes reads the home regions of the request from the newest state. They may
// have moved since the request was admitted: it waits for its body, for slots and
// between attempts. It reports whether the settings have changed.
func (x *exchange) updateHomes() (changed bool) {
	view, known := x.s.cfg.Control.View()
	if !known || view.Items() == x.settings {
		return false
	}
	x.settings = view.Items()
	rule, ok := x.settings.MatchRule(x.r.Host, items.RequestPath(x.r.RequestURI))
	if !ok {
		return true // the rule was deleted after the request was admitted
	}
	policy := x.policy
	if policy != nil {
		if p, ok := x.settings.Policy(policy.Name); ok {
			policy = p
		}
	}
	x.placement.HomeRegions = items.HomeRegions(rule, policy)
	return true
}

// checkHomes updates the home regions of the request and checks that they are still in
// force. An instance that is cut off, or was paused, does not learn that they moved, or
// that a request without homes has got some.
func (x *exchange) checkHomes() *corianderwing.Error {
	for range maxHomeReads {
		current := x.s.cfg.Control.IsCurrent()
		// A state that arrived in between is the one that was confirmed.
		if x.updateHomes() {
			continue
		}
		if current || len(x.placement.HomeRegions) == 0 && x.s.cfg.SingleRegion {
			return nil
		}
		break
	}
	return corianderwing.Errorf(corianderwing.StaleSettings, "home regions are not confirmed as current")
}

// maxHomeReads bounds how often the home regions are read anew because the settings
// changed meanwhile.
const maxHomeReads = 4

// checkHomeOf checks, just before the request is sent, that an upstream is in a home
// region of the request.
func (x *exchange) checkHomeOf(u *model.Upstream) *corianderwing.Error {
	if err := x.checkHomes(); err != nil {
		return err
	}
	homes := x.placement.HomeRegions
	if len(homes) > 0 && !slices.Contains(homes, x.s.cfg.RegionOf(u.Domain)) {
		return errOutsideHomes
	}
	return nil
}

// returnOutsideHomes returns a slot whose upstream is not, or may not be, in a home
// region of the request. It reports whether it did.
func (x *exchange) returnOutsideHomes(sl *slot) bool {
	err := x.checkHomeOf(sl.upstream)
	if err == nil {
		return false
	}
	x.s.release(sl, nil, place.Outcome{Result: place.Canceled})
	x.s.log.Info().Str("request", string(x.caller.ID)).Str("upstream", string(sl.upstream.ID)).Str("domain", string(sl.upstream.Domain)).
		Any("homes", x.placement.HomeRegions).Msg("slot returned: the home regions have moved or are not current")
	return true
}

// errOutsideHomes is returned if no allocator grants a slot in a home region.
var errOutsideHomes = corianderwing.Errorf(corianderwing.NoUpstream, "no upstream in the home regions was granted")
