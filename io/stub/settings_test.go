package stub

import (
	"testing"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/io/conf"
)

// Guards against stand-ins that share an id or address, or that announce to
// another failure domain.
func TestFromSettings(t *testing.T) {
	is := is.New(t)
	cfg, err := conf.Load("../../examples/threadworks.yaml")
	is.NoErr(err)
	ids := map[corianderwing.UpstreamID]bool{}
	addrs := map[string]bool{}
	for _, c := range FromSettings(cfg, 1) {
		ids[c.ID] = true
		addrs[c.Addr] = true
		is.Equal(len(c.Entries), 2)
		for _, p := range cfg.Processes {
			if p.Entry != nil && (p.Entry.PublicAddr == c.Entries[0] || p.Entry.PublicAddr == c.Entries[1]) {
				is.Equal(p.Domain, c.Domain)
			}
		}
	}
	is.Equal(len(ids), 14+12+16)
	is.Equal(len(addrs), 14+12+16)
	is.True(ids["loom-files-th-south-b-2"])
	is.True(addrs["127.0.0.1:22041"])
}
