package gate

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
)

// borrowingControl is a Control that does not answer requests for slots. Its failure
// domain borrows slots of other domains.
type borrowingControl struct {
	silentControl
	borrowed map[corianderwing.UpstreamID]int
}

func (c borrowingControl) BorrowedSlots() map[corianderwing.UpstreamID]int { return c.borrowed }

// Guards against a failure domain that lives on loans and serves next to nothing while
// its entry instances decide alone, because its control instance answers late or not.
func TestAloneUsesLoans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		control := newGrantingControl(t, "127.0.0.1:1")
		own := control.upstream.Upstream
		own.Slots = 1
		announced := []model.Announcement{{Upstream: own}}
		borrowed := map[corianderwing.UpstreamID]int{}
		for i := range 10 {
			u := own
			u.ID, u.Domain, u.Addr = corianderwing.UpstreamID(fmt.Sprintf("far-%d", i)), "b", fmt.Sprintf("127.0.0.1:%d", 2+i)
			announced = append(announced, model.Announcement{Upstream: u})
			borrowed[u.ID] = 1
		}
		view, err := control.view.Apply(&model.Command{Announce: announced}, time.Now())
		is.NoErr(err)
		control.view = view
		grantedAtOnce := func(c Control) int64 {
			s := newTestServer(c, quiet)
			defer s.Close()
			s.NotifyChange()
			synctest.Wait()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var n atomic.Int64
			for range 12 {
				go func() {
					if sl, _ := acquireFrom(ctx, s); sl != nil {
						n.Add(1)
					}
				}()
			}
			synctest.Wait()
			return n.Load()
		}
		is.Equal(grantedAtOnce(silentControl{control}), int64(1))
		is.Equal(grantedAtOnce(borrowingControl{silentControl{control}, borrowed}), int64(11))
	})
}
