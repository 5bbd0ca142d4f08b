package gate

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/io/follow"
	"corianderwing/io/plane"
)

// pausingControl is a Control whose instance is paused while a request waits for its
// slot: when it goes on, the lease has ended, or the state has changed.
type pausingControl struct {
	*grantingControl
	pause    func(*pausingControl)
	stale    atomic.Bool
	released atomic.Int32 // slots released without a result
}

func (c *pausingControl) IsFresh() bool { return !c.stale.Load() }

func (c *pausingControl) Acquire(ctx context.Context, q *plane.AcquireRequest) (*plane.AcquireResponse, follow.SlotSource, bool) {
	c.pause(c)
	return c.grantingControl.Acquire(ctx, q)
}

func (c *pausingControl) Release(_ follow.SlotSource, _ corianderwing.PoolID, o place.Outcome) {
	if o.Result == place.Canceled {
		c.released.Add(1)
	}
}

// Guards against a process that was paused for some seconds and sends a request under
// a key that was revoked meanwhile, or that it can no longer verify. The request has
// not run, and its slot is free again.
func TestKeyIsCheckedAfterWait(t *testing.T) {
	for _, c := range []struct {
		name   string
		pause  func(*pausingControl)
		status int
	}{
		{"the lease has ended", func(c *pausingControl) { c.stale.Store(true) }, http.StatusServiceUnavailable},
		{"the key was revoked", func(c *pausingControl) { c.view = withoutKey(t, c.view) }, http.StatusUnauthorized},
		{"nothing has changed", func(*pausingControl) {}, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ran, addr := startCountingUpstream(t)
			control := &pausingControl{grantingControl: newGrantingControl(t, addr), pause: c.pause}
			s := startTestServer(t, control)
			w := send(s, 1)
			is.Equal(w.Code, c.status)
			ok := c.status == http.StatusOK
			is.Equal(ran.Load() == 1, ok)
			is.Equal(control.released.Load() == 0, ok)
		})
	}
}

// withoutKey returns the view after the key of its workspace was replaced.
func withoutKey(t *testing.T, v *model.View) *model.View {
	t.Helper()
	next, err := v.Apply(&model.Command{Edit: &corianderwing.Edit{
		WorkspacePolicies: []corianderwing.WorkspacePolicy{{Name: "main", Version: 2, Keys: []string{"k-2"}}},
	}}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return next
}
