package gate

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/crash"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/io/follow"
	"corianderwing/io/plane"
	"corianderwing/platform"
)

// quiet is a logger that writes nothing.
var quiet = &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}

// newTestServer returns an entry instance of failure domain a in region r, which
// the caller must close.
func newTestServer(c Control, l *log.Logger) *Server {
	return New(Config{
		Domain:     "a",
		RegionOf:   func(corianderwing.DomainID) corianderwing.RegionID { return "r" },
		Control:    c,
		Limits:     NewLimits(time.Second),
		Dialect:    &platform.Adapter{},
		Log:        l,
		RetryRatio: 0.2,
	})
}

// startTestServer returns an entry instance that knows the pool files. It is closed at
// the end of the test.
func startTestServer(t *testing.T, c Control) *Server {
	t.Helper()
	s := newTestServer(c, quiet)
	t.Cleanup(s.Close)
	s.NotifyChange()
	for s.pool("files") == nil {
		time.Sleep(time.Millisecond)
	}
	return s
}

// acquireFrom gets a slot of the pool files for a request that may take two seconds.
func acquireFrom(ctx context.Context, s *Server) (*slot, *refusal) {
	now := time.Now()
	return s.acquire(ctx, s.pool("files"), place.Request{Class: "r-1", Goal: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}, now)
}

// grantingControl is a Control that grants every slot immediately.
type grantingControl struct {
	view     *model.View
	upstream *model.Upstream
}

func (c *grantingControl) View() (*model.View, bool)                       { return c.view, true }
func (c *grantingControl) IsFresh() bool                                   { return true }
func (c *grantingControl) IsCurrent() bool                                 { return true }
func (c *grantingControl) StateAge() time.Duration                         { return 0 }
func (c *grantingControl) LeaderMissing() bool                             { return false }
func (c *grantingControl) Neighbors() []corianderwing.Instance             { return nil }
func (c *grantingControl) BorrowedSlots() map[corianderwing.UpstreamID]int { return nil }
func (c *grantingControl) BorrowToken(context.Context, corianderwing.WorkspaceID) (follow.BorrowedToken, time.Duration, error) {
	return follow.BorrowedToken{}, 0, nil
}
func (c *grantingControl) ReportCrashes(context.Context, []crash.Event) (corianderwing.Revision, error) {
	return 0, errors.New("no control instance")
}
func (c *grantingControl) ClaimProbe(context.Context, crash.Fingerprint, int) (bool, error) {
	return false, errors.New("no control instance")
}
func (c *grantingControl) ReturnToken(follow.BorrowedToken, corianderwing.WorkspaceID) {}
func (c *grantingControl) Acquire(context.Context, *plane.AcquireRequest) (*plane.AcquireResponse, follow.SlotSource, bool) {
	return &plane.AcquireResponse{ID: 1, Upstream: c.upstream.ID, Incarnation: c.upstream.Incarnation, ExpectedLatency: 1000, MissLatency: 3000, ExpectHit: true},
		follow.SlotSource{Peer: "control", Domain: "a"}, true
}
func (c *grantingControl) Release(follow.SlotSource, corianderwing.PoolID, place.Outcome) {}

// newGrantingControl returns a Control with a single upstream at addr.
func newGrantingControl(b testing.TB, addr string) *grantingControl {
	b.Helper()
	now := time.Now()
	view := model.New()
	for _, c := range []*model.Command{
		{Edit: &corianderwing.Edit{
			Rules: []corianderwing.Rule{{
				Name: "r-1", Version: 1, Host: "shop.example", Prefix: "/files/", Timeout: 4000, TargetLatency: 600, Priority: 1, MaxAttempts: 2,
				Sticky: true, Targets: []corianderwing.Target{{Pool: "files", Weight: 1}},
			}},
			WorkspacePolicies: []corianderwing.WorkspacePolicy{{Name: "main", Version: 1, Keys: []string{"k-1"}}},
			Pools:             []corianderwing.Pool{{Name: "files", Version: 1, MaxConns: 100, Protocol: "h1"}},
			Limits:            &corianderwing.Limits{Version: 1, Header: 16 << 10, Body: 1 << 20, HeaderTimeout: 3000, IdleTimeout: 15000},
		}},
		{Announce: []model.Announcement{{Upstream: corianderwing.Upstream{
			ID: "i-1", Incarnation: 1, Pool: "files", Version: "v1", Domain: "a", Addr: addr, Slots: 100, Phase: corianderwing.Ready,
		}}}},
	} {
		next, err := view.Apply(c, now)
		if err != nil {
			b.Fatal(err)
		}
		view = next
	}
	u, ok := view.Upstream("i-1")
	if !ok {
		b.Fatal("upstream not found in the view")
	}
	return &grantingControl{view, u}
}
