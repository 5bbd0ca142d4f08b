package follow

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/core/quota"
	"corianderwing/internal/extreme"
	"corianderwing/io/clock"
	"corianderwing/io/peer"
	"corianderwing/io/plane"
)

// limiter is a Limits as io/gate has it.
type limiter struct {
	mu sync.Mutex
	l  *quota.Limiter
}

func (x *limiter) Needs(from string) []quota.Demand {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.l.Demands(from, []corianderwing.WorkspaceID{"w", "a"}, clock.Boot())
}

func (x *limiter) SetShares(from string, shares []quota.Share, until time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.l.SetShares(from, shares, until, clock.Boot())
	x.l.Take("w", clock.Boot())
	x.l.RetryAfter("w", clock.Boot())
}

// serveHostile serves a control instance whose messages are drawn, and returns its
// address.
func serveHostile(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	names := []string{"", "w", "a", "r", "i-1", l.Addr().String(), "127.0.0.1:1", "ready"}
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(1, 1))
	fill := func(v any) {
		mu.Lock()
		defer mu.Unlock()
		extreme.Fill(r, names, v)
	}
	s := peer.NewServer([]byte("secret"))
	peer.Handle(s, plane.HeartbeatMethod, func(context.Context, *plane.HeartbeatRequest) (*plane.HeartbeatResponse, error) {
		a := new(plane.HeartbeatResponse)
		fill(a)
		return a, nil
	})
	peer.Handle(s, plane.AcquireMethod, func(context.Context, *plane.AcquireRequest) (*plane.AcquireResponse, error) {
		a := new(plane.AcquireResponse)
		fill(a)
		return a, nil
	})
	peer.Handle(s, plane.BorrowMethod, func(context.Context, *plane.BorrowRequest) (*plane.BorrowResponse, error) {
		a := new(plane.BorrowResponse)
		fill(a)
		return a, nil
	})
	request := plane.NewWatchRequest(0)
	handleWatch(s, plane.WatchMethod, request, func(send func(*model.Update) error) error {
		for range 5 {
			u := new(model.Update)
			fill(u)
			if err := send(u); err != nil {
				return err
			}
		}
		return nil
	})
	go s.Serve(l)
	t.Cleanup(s.Stop)
	return l.Addr().String()
}

// handleWatch registers f for watches, whose request type has no name here.
func handleWatch[Req any](s *peer.Server, m peer.Stream[Req, model.Update], _ *Req, f func(send func(*model.Update) error) error) {
	peer.HandleStream(s, m, func(_ context.Context, _ *Req, send func(*model.Update) error) error { return f(send) })
}

// Guards against one unexpected message of a control instance that ends the process
// of the entry instances that follow it.
func TestHostileControl(t *testing.T) {
	is := is.New(t)
	addr := serveHostile(t)
	client := peer.NewClient([]byte("secret"))
	defer client.Close()
	f := New(Config{
		Self:       func() corianderwing.Instance { return corianderwing.Instance{ID: "e", Domain: "a", Region: "r"} },
		Seeds:      []string{addr},
		RegionOf:   func(corianderwing.DomainID) corianderwing.RegionID { return "r" },
		Lease:      4 * time.Second,
		CurrentFor: time.Second,
		Log:        &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}},
		Limits:     &limiter{l: quota.NewLimiter(5 * time.Second)},
		TakeTrials: func() []plane.Trial { return nil },
		SetShares:  func([]plane.MoveShare) {},
	}, client)
	defer f.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	for i := 0; i < 300 && ctx.Err() == nil; i++ {
		f.Heartbeat(ctx)
		f.probeAlternative(ctx)
		callCtx, cancelCall := context.WithTimeout(ctx, 20*time.Millisecond)
		f.Acquire(callCtx, &plane.AcquireRequest{Pool: "a"})
		f.BorrowToken(callCtx, "w")
		cancelCall()
		f.Release(SlotSource{Peer: addr, Domain: "a"}, "a", place.Outcome{})
		f.IsFresh()
		f.IsCurrent()
		f.View()
	}
	r := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		u := new(model.Update)
		extreme.Fill(r, []string{""}, u)
		_ = f.apply(u) // an error ends the watch only
	}
	view, _ := f.View()
	is.Equal(view.NumUpstreams(), 0)
}
