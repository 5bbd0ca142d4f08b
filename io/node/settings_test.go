package node

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// FuzzParse guards against a settings file that ends a running process, which reads
// it again after a signal: the YAML library panics at the last of these.
func FuzzParse(f *testing.F) {
	f.Add([]byte("name: a\nrole: control\nip: 10.0.0.1\ndomain: d\nports: [7600,7615]\nseeds: [\"10.0.0.1:1\"]\ndata: d\ndomains: {\"a-1\": \"r\"}\nbounds:\n  over: 0.1\n"))
	f.Add([]byte("name: [\n"))
	f.Add([]byte("name: \"a\"\nrole: control\nip: 10.0.0.1\nports: !00000000000000000000000000000000000000000 00000000000\n000008:00000000: 000000000\n000008:\n  000000: 00\n000009: 0000"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err != nil {
			if corianderwing.CodeOf(err) != corianderwing.InvalidInput {
				t.Fatalf("error %v", err)
			}
			return
		}
		s.peerAddr()
		s.seedPeerAddrs()
		s.sourceIP()
		s.listenAddr(s.Listen.Public)
	})
}

// Guards against limits with which an instance could serve nobody.
func TestLimitsAreChecked(t *testing.T) {
	const text = "role: entry\nip: 127.0.0.1\ndomain: d\nports: [1,2]\nseeds: [\"127.0.0.1:1\"]\nlisten: {public: \"127.0.0.1:3\"}\n"
	for limit, ok := range map[string]bool{
		"": true, "memory: 0": true, "memory: 32": true, "memory: 31": false, "memory: -1": false,
		"files: 0": true, "files: 64": true, "files: 63": false, "files: -1": false,
	} {
		if _, err := Parse([]byte(text + limit)); (err == nil) != ok {
			t.Errorf("%q: %v", limit, err)
		}
	}
}

// Guards against reports where the settings name no receiver, and against a lease in
// which nothing can be sent.
func TestUsageSettings(t *testing.T) {
	is := is.New(t)
	base := "name: a\nrole: control\nip: 10.0.0.1\ndomain: d\nports: [7600,7615]\nseeds: [\"10.0.0.1:1\"]\ndata: d\n"
	s, err := Parse([]byte(base))
	is.NoErr(err)
	is.True(!s.Usage.Enabled())
	s, err = Parse([]byte(base + "usage:\n  to: \"10.0.0.9:80\"\n  window: 5s\n  rate: 50.0\n"))
	is.NoErr(err)
	is.True(s.Usage.Enabled())
	is.Equal(s.Usage, Usage{"10.0.0.9:80", Duration(5 * time.Second), defaultUsageLate, defaultUsageLease, 50})
	_, err = Parse([]byte(base + "usage:\n  lease: 200ms\n  rate: -1\n"))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "usage.lease is 200ms, allowed: at least 1s; usage.rate is -1"))
}
