package gate

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// cancelingControl fails to borrow tokens, the first time because the caller has
// disconnected.
type cancelingControl struct {
	*grantingControl
	disconnect context.CancelFunc
}

func (c cancelingControl) BorrowToken(ctx context.Context, _ corianderwing.WorkspaceID) (string, time.Duration, error) {
	c.disconnect()
	return "", 0, ctx.Err()
}

// Guards against refusing the requests of all workspaces because one caller
// disconnected while a token was borrowed for it.
func TestDisconnectDoesNotStopBorrowing(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	s := newTestServer(cancelingControl{newGrantingControl(t, "127.0.0.1:1"), cancel}, quiet)
	defer s.Close()
	policy := &corianderwing.WorkspacePolicy{Name: "main", Rate: 10}
	x := &exchange{s: s, r: httptest.NewRequest("GET", "/", nil).WithContext(ctx), tenure: policy}
	is.True(x.takeToken() != nil)
	_, borrow, _ := s.cfg.Limits.takeToken(&corianderwing.WorkspacePolicy{Name: "other", Rate: 10})
	is.True(borrow)
}
