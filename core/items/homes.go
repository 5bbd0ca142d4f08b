package items

import "corianderwing"

// HomeRegions returns the regions that may run a request of a rule and a workspace.
// The workspace may be nil. An empty list means all regions. The result for two
// non-empty lists also holds noRegion, so that an empty intersection does not mean all
// regions.
func HomeRegions(r *corianderwing.Rule, w *corianderwing.WorkspacePolicy) []corianderwing.RegionID {
	if w == nil || len(w.HomeRegions) == 0 {
		return r.HomeRegions
	}
	if len(r.HomeRegions) == 0 {
		return w.HomeRegions
	}
	out := []corianderwing.RegionID{noRegion}
	for _, a := range r.HomeRegions {
		for _, b := range w.HomeRegions {
			if a == b {
				out = append(out, a)
			}
		}
	}
	return out
}

// noRegion is the name of no region. It is not empty, because that is the region of an
// unknown failure domain.
const noRegion corianderwing.RegionID = "-"
