package gate

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// Guards against a borrow attempt for each request while lenders do not answer.
func TestNoBorrowFromSilentLenders(t *testing.T) {
	is := is.New(t)
	l := NewLimits(5 * time.Second)
	a, b := &corianderwing.WorkspacePolicy{Name: "a", Rate: 10}, &corianderwing.WorkspacePolicy{Name: "b", Rate: 10}
	_, borrow, _ := l.takeToken(a)
	is.True(borrow)
	l.recordBorrow("a", false, 0, nil) // lenders answered that they have none
	_, borrow, _ = l.takeToken(b)
	is.True(borrow)
	l.recordBorrow("a", false, 0, context.DeadlineExceeded)
	_, borrow, _ = l.takeToken(b)
	is.True(!borrow)
}
