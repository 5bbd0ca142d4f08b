package conf

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"corianderwing"
)

// Guards against processes that request the tokens of one link from different
// groups, each of which would grant the full cap. The order of the groups must
// not matter.
func TestLinkCaps(t *testing.T) {
	is := is.New(t)
	cfg, err := Load("../../examples/mvule.yaml")
	is.NoErr(err)
	want := cfg.LinkCaps()
	is.Equal(len(want), 6)
	for _, c := range want {
		is.Equal(c.Group, corianderwing.GroupID(c.From)) // two of its three voters are there
		is.Equal(c.Cap, corianderwing.BytesPerSecond(35_000_000))
		is.Equal(fmt.Sprint(c.Domains), fmt.Sprintf("[%s-a %s-b]", c.From, c.From))
	}
	cfg.Groups[0], cfg.Groups[2] = cfg.Groups[2], cfg.Groups[0]
	is.Equal(cfg.LinkCaps(), want)
	cfg.Groups = []Group{{Name: "z", Voters: cfg.Groups[0].Voters[:1]}, {Name: "b"}, {Name: "a"}}
	for _, c := range cfg.LinkCaps() {
		if c.From == cfg.Region("kisumu-a") {
			is.Equal(c.Group, corianderwing.GroupID("z")) // one voter is more than none
		} else {
			is.Equal(c.Group, corianderwing.GroupID("a")) // the lowest name
		}
	}
}
