package model

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/crash"
)

func suspectCommand() *Command {
	var list []crash.Event
	for i := range 3 {
		list = append(list, crash.Event{Kind: crash.Crashed, Fingerprint: "f", Upstream: crash.Upstream{ID: "u", Incarnation: corianderwing.Incarnation(i)}})
	}
	return NewSuspectCommand(list)
}

// Guards against a quarantine that ends when the leader or all control instances
// restart, or that an entry instance that has just started does not know.
func TestQuarantineSurvivesSnapshot(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	v, err := New().Apply(suspectCommand(), now)
	is.NoErr(err)
	data, err := v.Save(now)
	is.NoErr(err)
	loaded, err := Load(data, now.Add(time.Minute))
	is.NoErr(err)
	s, ok := loaded.Suspects().Lookup("f")
	is.True(ok)
	is.True(s.Quarantined())
	is.Equal(s.CrashedAt, now.Add(time.Minute))
}

// Guards against revisions that differ between versions of the program: a replica of
// an earlier version reads the command without its new field.
func TestSuspectCommandOfNewerVersion(t *testing.T) {
	is := is.New(t)
	data, err := Encode(suspectCommand())
	is.NoErr(err)
	var known struct {
		Expire []UpstreamRef `json:"expire,omitempty"`
	}
	is.NoErr(decMode.Unmarshal(data, &known))
	now := time.Unix(1000, 0)
	base, err := New().Apply(&Command{Announce: []Announcement{{Upstream: corianderwing.Upstream{ID: "u", Pool: "p", Addr: "x"}}}}, now)
	is.NoErr(err)
	older, err := base.Apply(&Command{Expire: known.Expire}, now)
	is.NoErr(err)
	newer, err := base.Apply(suspectCommand(), now)
	is.NoErr(err)
	is.Equal(older.Revision(), newer.Revision())
	is.Equal(older.NumUpstreams(), 1)
	is.Equal(newer.NumUpstreams(), 1)
	is.Equal(older.Suspects().Len(), 0)
	is.Equal(newer.Suspects().Len(), 1)
}
