package gate

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"corianderwing/core/model"
	"corianderwing/io/follow"
	"corianderwing/io/plane"
)

// silentControl is a Control that does not answer requests for slots.
type silentControl struct{ *grantingControl }

func (silentControl) Acquire(context.Context, *plane.AcquireRequest) (*plane.AcquireResponse, follow.SlotSource, bool) {
	return nil, follow.SlotSource{}, false
}

// Guards against twice the rate that a cold upstream can bear: in a domain with a
// single entry instance, this one allocated slots itself, because its control
// instance did not answer it, and the control instance sent others there as well.
func TestNoColdUpstreamWithoutControl(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newGrantingControl(t, "127.0.0.1:1")
		cold := c.upstream.Upstream
		cold.Incarnation++
		view, err := c.view.Apply(&model.Command{Announce: []model.Announcement{{Upstream: cold, WarmupRemaining: 3000}}}, time.Now())
		is.NoErr(err)
		c.view = view
		s := newTestServer(silentControl{c}, quiet)
		defer s.Close()
		s.NotifyChange()
		synctest.Wait()
		_, no := acquireFrom(t.Context(), s)
		is.True(no != nil)
		time.Sleep(3 * time.Second) // the upstream is warm
		_, no = acquireFrom(t.Context(), s)
		is.True(no == nil)
	})
}
