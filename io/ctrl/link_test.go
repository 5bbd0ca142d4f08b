package ctrl

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/state"
)

// Guards against a leader that grants no tokens for its group's links, or grants
// tokens for a link that belongs to another group.
func TestLeaderGrantsItsLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &hostedReplica{id: "g", machine: state.New("g"), links: []corianderwing.LinkCap{
			{From: "x", To: "y", Cap: 1_000_000, Group: "g", Domains: []corianderwing.DomainID{"x-a"}},
			{From: "y", To: "x", Cap: 1_000_000, Group: "other", Domains: []corianderwing.DomainID{"y-a"}},
		}}
		seat, err := state.EncodeCommand(corianderwing.Command{
			Request: "seat", Kind: corianderwing.AssignSeat, Now: time.Now(),
			Seat: &corianderwing.Seat{Domain: "x-a", Instance: "i"},
		})
		is.NoErr(err)
		h.machine.Apply(1, seat) // only instances with a seat get tokens
		renew := func(seq uint64) []corianderwing.Grant {
			grants, _ := h.grant(1, h.machine.View(), &corianderwing.RenewRequest{Instance: "i", Incarnation: 1, Seq: seq, Reports: []corianderwing.TokenReport{
				{Bound: corianderwing.LinkBound("x", "y"), Requested: 10},
				{Bound: corianderwing.LinkBound("y", "x"), Requested: 10},
			}})
			return grants
		}
		is.Equal(len(renew(1)), 0) // grace period of a new leader
		time.Sleep(4 * time.Second)
		got := renew(2)
		is.Equal(len(got), 1)
		is.Equal(got[0].Bound, corianderwing.LinkBound("x", "y"))
		is.Equal(got[0].Tokens, corianderwing.Tokens(10))
	})
}
