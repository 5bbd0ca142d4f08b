package model

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/duty"
)

// Guards against a duty whose token goes back when a replica restores a snapshot, and
// against changes of duties that entry instances receive.
func TestDutySurvivesSnapshot(t *testing.T) {
	is := is.New(t)
	m := NewMachine(time.Now)
	apply := func(i corianderwing.Index, incarnation corianderwing.Incarnation, expect duty.Seq) error {
		holder := duty.Holder{Instance: "c1", Incarnation: incarnation}
		data, err := Encode(&Command{Duty: &duty.Change{Name: "d", Expect: expect, Holder: holder, Lease: 3000, Data: []byte("x")}})
		is.NoErr(err)
		r, err := DecodeResult(m.Apply(i, data))
		is.NoErr(err)
		if r.Error != nil {
			return r.Error
		}
		return nil
	}
	is.NoErr(apply(1, 1, 0))
	is.NoErr(apply(2, 2, 1))
	is.Equal(corianderwing.CodeOf(apply(3, 1, 1)), corianderwing.RevisionConflict) // proposed before change 2
	is.Equal(m.View().Revision(), corianderwing.Revision(0))
	saved, err := m.Save()
	is.NoErr(err)
	restored := NewMachine(time.Now)
	is.NoErr(restored.Restore(saved))
	is.Equal(restored.Duty("d"), m.Duty("d"))
	is.Equal(restored.Duty("d").Token, duty.Token(2))
	is.Equal(restored.Duty("d").Data, []byte("x"))
}
