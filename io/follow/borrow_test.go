package follow

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing/io/plane"
)

// Guards against an entry instance that runs out of CPU time after the loss of all
// instances: each refused request waited for all lenders of the region in turn, and
// the calls took the time that the answers needed.
func TestSilentLendersEndBorrowing(t *testing.T) {
	is := is.New(t)
	asked := 0
	lender, _, err := askLenders([]string{"a", "b", "c", "d", "e"}, func(string) (*plane.BorrowResponse, error) {
		asked++
		return nil, context.DeadlineExceeded
	})
	is.Equal(lender, "")
	is.True(err != nil)
	is.Equal(asked, maxBorrowErrors)
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
	lender, _, err := askLenders([]string{"a", "b", "c", "d"}, ask)
	is.NoErr(err)
	is.Equal(lender, "d")
	_, after, err := askLenders([]string{"a", "b", "c"}, ask)
	is.NoErr(err)
	is.Equal(after, 200*time.Millisecond)
}
