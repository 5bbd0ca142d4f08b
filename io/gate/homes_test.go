package gate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/io/follow"
	"corianderwing/io/plane"
	"corianderwing/platform"
)

// movingControl is a Control under which the home regions of the rule move while the
// first request waits for its slot, or while its first attempt runs.
type movingControl struct {
	*pausingControl
	asked []*plane.AcquireRequest
}

func (c *movingControl) Acquire(ctx context.Context, q *plane.AcquireRequest) (*plane.AcquireResponse, follow.SlotSource, bool) {
	c.asked = append(c.asked, q)
	if len(c.asked) > 1 && len(q.HomeRegions) > 0 && q.HomeRegions[0] != "r" {
		return &plane.AcquireResponse{Error: corianderwing.Errorf(corianderwing.NoUpstream, "no upstream in %v", q.HomeRegions)}, follow.SlotSource{}, true
	}
	return c.pausingControl.Acquire(ctx, q)
}

// withHomes returns the view after the rule got a new version with these homes.
func withHomes(t *testing.T, v *model.View, version corianderwing.Version, homes ...corianderwing.RegionID) *model.View {
	t.Helper()
	rule, ok := v.Items().MatchRule("shop.example", "/files/1")
	if !ok {
		t.Fatal("no rule")
	}
	next := *rule
	next.Version, next.HomeRegions = version, homes
	out, err := v.Apply(&model.Command{Edit: &corianderwing.Edit{Rules: []corianderwing.Rule{next}}}, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against running a request outside its home regions because they moved after
// it was admitted: while it waited for a slot, and between two attempts.
func TestHomesMoveAfterAdmission(t *testing.T) {
	for _, c := range []struct {
		name    string
		move    func(*testing.T, *movingControl)
		handler func(*testing.T, *movingControl) http.HandlerFunc
		ran     int32
	}{
		{
			name: "while the request waits for a slot",
			move: func(t *testing.T, c *movingControl) { c.view = withHomes(t, c.view, 3, "s") },
		},
		{
			name: "between two attempts",
			handler: func(t *testing.T, c *movingControl) http.HandlerFunc {
				return func(w http.ResponseWriter, r *http.Request) {
					c.view = withHomes(t, c.view, 3, "s")
					w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
					w.Header().Set(platform.HeaderNotExecuted, "1")
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			},
			ran: 1,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var ran atomic.Int32
			control := &movingControl{}
			up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				ran.Add(1)
				if c.handler != nil {
					c.handler(t, control)(w, r)
				}
			}))
			defer up.Close()
			granting := newGrantingControl(t, strings.TrimPrefix(up.URL, "http://"))
			granting.view = withHomes(t, granting.view, 2, "r")
			control.pausingControl = &pausingControl{grantingControl: granting, pause: func(*pausingControl) {
				if c.move != nil {
					c.move(t, control)
				}
			}}
			s := startTestServer(t, control)
			w := send(s, 1)
			is.Equal(ran.Load(), c.ran)
			is.Equal(w.Code, http.StatusServiceUnavailable)
			is.Equal(len(control.asked), 2)
			is.Equal(control.asked[1].HomeRegions, []corianderwing.RegionID{"s"})
		})
	}
}
