package follow

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/io/peer"
	"corianderwing/io/plane"
)

// fakeLender has tokens to lend, and records those that it gets back.
type fakeLender struct {
	tokens int
	asked  int
	back   chan plane.TokenTime
}

func (l *fakeLender) Lend(corianderwing.WorkspaceID) (plane.TokenTime, bool) {
	l.asked++
	l.tokens--
	return 7, l.tokens >= 0
}

func (l *fakeLender) TakeBack(_ corianderwing.WorkspaceID, taken plane.TokenTime) { l.back <- taken }

// serveLender serves an entry instance that lends tokens.
func serveLender(t *testing.T, l *fakeLender) corianderwing.Instance {
	l.back = make(chan plane.TokenTime, 1)
	return servePeer(t, (&Follower{cfg: Config{Lender: l}}).Register)
}

// newBorrower returns a follower with neighbors. It follows the control instance at an
// address.
func newBorrower(t *testing.T, control string, neighbors ...corianderwing.Instance) *Follower {
	client := peer.NewClient([]byte("secret"))
	t.Cleanup(client.Close)
	return &Follower{
		cfg:           Config{Self: func() corianderwing.Instance { return corianderwing.Instance{Region: "r"} }, Now: time.Now},
		peer:          client,
		ctx:           t.Context(),
		current:       control,
		neighbors:     neighbors,
		noBorrowUntil: map[string]time.Time{},
	}
}

// Guards against refusing requests while all control instances are lost although a
// neighbor has a token, also beside a neighbor that is lost itself. A token of a request
// that did not run goes back to the neighbor.
func TestBorrowFromNeighbor(t *testing.T) {
	is := is.New(t)
	lender := &fakeLender{tokens: 1}
	near := serveLender(t, lender)
	f := newBorrower(t, "127.0.0.1:1", corianderwing.Instance{PeerAddr: "127.0.0.1:2"}, near)
	token, _, _ := f.BorrowToken(t.Context(), "w")
	is.Equal(token, BorrowedToken{Lender: near.PeerAddr, Taken: 7, Neighbor: true})
	f.ReturnToken(token, "w")
	is.Equal(<-lender.back, plane.TokenTime(7))
	token, after, _ := f.BorrowToken(t.Context(), "w")
	is.Equal(token.Lender, "")
	is.Equal(after, time.Duration(0))
	_, borrowed := f.LendStats()
	is.Equal(borrowed, int64(1))
}

// Guards against calls to neighbors for a workspace that is over its rate: a control
// instance with a share knows best when there will be a token.
func TestNoNeighborWhileControlHasShare(t *testing.T) {
	is := is.New(t)
	control := servePeer(t, func(s *peer.Server) {
		peer.Handle(s, plane.BorrowMethod, func(context.Context, *plane.BorrowRequest) (*plane.BorrowResponse, error) {
			return &plane.BorrowResponse{RetryAfter: 300}, nil
		})
	})
	lender := &fakeLender{tokens: 1}
	f := newBorrower(t, control.PeerAddr, serveLender(t, lender))
	token, after, err := f.BorrowToken(t.Context(), "w")
	is.NoErr(err)
	is.Equal(token.Lender, "")
	is.Equal(after, 300*time.Millisecond)
	is.Equal(lender.asked, 0)
}

// Guards against a storm of calls from refused requests, and against asking the same few
// neighbors each time.
func TestNeighborsAskedPerRequest(t *testing.T) {
	is := is.New(t)
	f := newBorrower(t, "127.0.0.1:1")
	for i := range 2 * maxNeighborLenders {
		f.neighbors = append(f.neighbors, corianderwing.Instance{PeerAddr: fmt.Sprint(i)})
	}
	asked := map[string]bool{}
	for range 2 {
		list := f.neighborLenders()
		is.Equal(len(list), maxNeighborLenders)
		for _, addr := range list {
			asked[addr] = true
		}
	}
	is.Equal(len(asked), 2*maxNeighborLenders)
	for addr := range asked {
		f.recordSilentLender(addr)
	}
	is.Equal(len(f.neighborLenders()), 0)
}
