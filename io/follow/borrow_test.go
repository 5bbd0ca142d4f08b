package follow

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/io/peer"
	"corianderwing/io/plane"
)

// Guards against an entry instance that runs out of CPU time after the loss of all
// instances: each refused request waited for all lenders of the region in turn, and
// the calls took the time that the answers needed. Lenders that answer go on lending.
func TestSilentLendersAreNotAskedAgain(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	f := &Follower{
		cfg: Config{
			Self: func() corianderwing.Instance { return corianderwing.Instance{Region: "r"} },
			Now:  func() time.Time { return now },
		},
		current:       "a",
		controls:      []plane.ControlInstance{{PeerAddr: "a", Region: "r"}, {PeerAddr: "b", Region: "r"}, {PeerAddr: "c", Region: "r"}, {PeerAddr: "d", Region: "s"}},
		noBorrowUntil: map[string]time.Time{},
	}
	is.Equal(f.lenders(), []string{"a", "b", "c"})
	f.recordSilentLender("a")
	f.recordSilentLender("c")
	is.Equal(f.lenders(), []string{"b"})
	now = now.Add(lenderBackoff)
	is.Equal(f.lenders(), []string{"a", "b", "c"})
}

// Guards against refusing requests while a lender that answers has a token.
func TestOneSilentLender(t *testing.T) {
	is := is.New(t)
	answers := map[string]*plane.BorrowResponse{"b": {RetryAfter: 300}, "c": {RetryAfter: 200}, "d": {OK: true}}
	ask := func(addr string) (*plane.BorrowResponse, error) {
		if r, ok := answers[addr]; ok {
			return r, nil
		}
		return nil, context.DeadlineExceeded
	}
	token, _, _ := askLenders([]string{"a", "b", "c", "d"}, ask)
	is.Equal(token.Lender, "d")
	_, after, err := askLenders([]string{"a", "b", "c"}, ask)
	is.True(err != nil) // a did not answer
	is.Equal(after, 200*time.Millisecond)
}

// Guards against avoiding lenders because one caller disconnected while a token was
// borrowed for it.
func TestDisconnectDoesNotStopBorrowing(t *testing.T) {
	is := is.New(t)
	client := peer.NewClient([]byte("secret"))
	defer client.Close()
	f := &Follower{
		cfg:           Config{Self: func() corianderwing.Instance { return corianderwing.Instance{Region: "r"} }, Now: time.Now},
		peer:          client,
		current:       "127.0.0.1:1",
		noBorrowUntil: map[string]time.Time{},
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, err := f.BorrowToken(ctx, "w")
	is.True(err != nil)
	is.Equal(len(f.lenders()), 1)
	_, _, err = f.BorrowToken(t.Context(), "w") // nobody listens there
	is.True(err != nil)
	is.Equal(len(f.lenders()), 0)
}
