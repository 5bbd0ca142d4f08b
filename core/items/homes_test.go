package items

import (
	"slices"
	"testing"

	"github.com/matryer/is"

	"corianderwing"
)

// Guards against running a request whose rule and workspace have no home in common at
// an upstream that names an unknown failure domain, whose region is "".
func TestDisjointHomesAllowNoRegion(t *testing.T) {
	is := is.New(t)
	rule := func(regions ...corianderwing.RegionID) *corianderwing.Rule {
		return &corianderwing.Rule{HomeRegions: regions}
	}
	workspace := func(regions ...corianderwing.RegionID) *corianderwing.WorkspacePolicy {
		return &corianderwing.WorkspacePolicy{HomeRegions: regions}
	}
	homes := HomeRegions(rule("n", "m"), workspace("k"))
	is.True(len(homes) > 0) // an empty list allows all regions
	for _, r := range []corianderwing.RegionID{"", "n", "m", "k"} {
		is.True(!slices.Contains(homes, r))
	}
	homes = HomeRegions(rule("n", "m"), workspace("m", "k"))
	is.True(slices.Contains(homes, "m"))
	for _, r := range []corianderwing.RegionID{"", "n", "k"} {
		is.True(!slices.Contains(homes, r))
	}
	is.Equal(len(HomeRegions(rule(), nil)), 0)
	is.Equal(HomeRegions(rule("n"), nil), []corianderwing.RegionID{"n"})
	is.Equal(HomeRegions(rule("n"), workspace()), []corianderwing.RegionID{"n"})
	is.Equal(HomeRegions(rule(), workspace("k")), []corianderwing.RegionID{"k"})
}
