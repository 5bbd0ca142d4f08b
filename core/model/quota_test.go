package model

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/quota"
)

// Guards against a quota record that is lost with a snapshot, or that becomes a revision
// which every entry instance receives.
func TestQuotaRecordSurvivesSnapshot(t *testing.T) {
	is := is.New(t)
	m := NewMachine(time.Now)
	is.True(m.Quota() == nil)
	for i, c := range []*quota.RecordChange{
		{},
		{Set: quota.Ceilings{"shop": 50, "bakery": 20}, Add: []corianderwing.InstanceID{"e2", "e1"}},
		{Set: quota.Ceilings{"bakery": 0}, Add: []corianderwing.InstanceID{"e3"}, Remove: []corianderwing.InstanceID{"e2"}},
	} {
		data, err := Encode(&Command{Quota: c})
		is.NoErr(err)
		r, err := DecodeResult(m.Apply(corianderwing.Index(i+1), data))
		is.NoErr(err)
		is.True(r.Error == nil)
		is.True(m.Quota() != nil)
	}
	is.Equal(m.View().Revision(), corianderwing.Revision(0))
	saved, err := m.Save()
	is.NoErr(err)
	restored := NewMachine(time.Now)
	is.NoErr(restored.Restore(saved))
	is.Equal(restored.Quota().Ceilings, quota.Ceilings{"shop": 50})
	is.Equal(restored.Quota().Holders, []corianderwing.InstanceID{"e1", "e3"})
	is.True(restored.Quota().Covers("e3"))
	is.True(!restored.Quota().Covers("e2"))
}
