package agent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/share"
	"corianderwing/core/state"
)

// leader is a fake control group of one replica.
type leader struct {
	mu           sync.Mutex
	machine      *state.Machine
	grantor      *share.Grantor
	index        corianderwing.Index
	unreachable  bool // every call fails
	recovering   bool // has not recovered the grants; grants nothing
	watchStalled bool // the first watch delivers nothing
	watches      int
	renewDelay   time.Duration // delay of a reply to a renewal
}

func newLeader() *leader {
	now := time.Now()
	return &leader{machine: state.New("home"), grantor: share.NewGrantor(now)}
}

var errUnreachable = errors.New("no route to host")

func (l *leader) Propose(_ context.Context, _ corianderwing.GroupID, c corianderwing.Command) (corianderwing.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable {
		return corianderwing.Result{}, errUnreachable
	}
	c.Now = time.Now()
	data, err := state.EncodeCommand(c)
	if err != nil {
		return corianderwing.Result{}, err
	}
	l.index++
	return state.DecodeResult(l.machine.Apply(l.index, data))
}

func (l *leader) Renew(_ context.Context, r corianderwing.RenewRequest) (corianderwing.RenewResponse, error) {
	time.Sleep(l.renewDelay)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unreachable {
		return corianderwing.RenewResponse{}, errUnreachable
	}
	reply := corianderwing.RenewResponse{Revision: l.machine.View().Revision(), LeaseDuration: 3000, Recovering: l.recovering}
	if !l.recovering {
		reply.Grants = l.grantor.Update(time.Now(), r.Instance, r.Incarnation, r.Seq, r.Reports)
	}
	return reply, nil
}

func (l *leader) Watch(ctx context.Context, _ corianderwing.GroupID, after corianderwing.Revision, f func(corianderwing.Update) error) error {
	l.mu.Lock()
	l.watches++
	first := l.watches == 1
	l.mu.Unlock()
	for {
		changed := l.machine.Changed()
		updates, _ := l.machine.Updates(after)
		l.mu.Lock()
		silent := l.watchStalled && first
		l.mu.Unlock()
		for _, u := range updates {
			if silent {
				break
			}
			if err := f(u); err != nil {
				return err
			}
			after = u.Revision
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *leader) set(p *bool, v bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*p = v
}

// applyCommands applies commands as if operators had sent them.
func (l *leader) applyCommands(t *testing.T, commands ...corianderwing.Command) {
	t.Helper()
	for i, c := range commands {
		c.Request = corianderwing.RequestID(fmt.Sprintf("op-%d-%d", l.index, i))
		c.Base = l.machine.View().Revision()
		r, err := l.Propose(t.Context(), "home", c)
		if err != nil || r.Error != nil {
			t.Fatal(err, r.Error)
		}
	}
}

func workspace(rate corianderwing.TokensPerSecond, burst corianderwing.Tokens) corianderwing.Command {
	return corianderwing.Command{
		Kind:     corianderwing.SetNode,
		Path:     corianderwing.Path{Workspace: "shop"},
		Settings: &corianderwing.Settings{Rate: &rate, Burst: &burst},
	}
}

// startAgent runs an agent of the leader's group within a synctest bubble.
func startAgent(t *testing.T, l *leader) *Agent {
	a := New(Config{Self: "e1", Incarnation: 1, Domain: "d1", Groups: []corianderwing.GroupID{"home"}, Control: l})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		a.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return a
}

var shopSettings = &corianderwing.EffectiveSettings{Path: corianderwing.Path{Workspace: "shop"}, Rate: 50, Burst: 50, Wait: 500}

// Guards against an instance that keeps serving routes with API keys although
// its lease has expired and it cannot confirm that the keys are still valid.
func TestFreshnessEndsWithTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLeader()
		l.applyCommands(t, workspace(50, 50))
		a := startAgent(t, l)
		time.Sleep(2 * time.Second)
		_, fresh, ok := a.View("shop")
		is.True(ok && fresh)

		l.set(&l.unreachable, true)
		time.Sleep(4 * time.Second) // more than the lease and the time since the last renewal
		_, fresh, ok = a.View("shop")
		is.True(ok)
		is.True(!fresh)

		l.set(&l.unreachable, false)
		time.Sleep(2 * time.Second)
		_, fresh, _ = a.View("shop")
		is.True(fresh)
	})
}

// Guards against an instance that acts on settings older than the revision
// that its lease confirmed, because its watch delivers nothing and reports no
// error.
func TestSilentWatchIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLeader()
		l.applyCommands(t, workspace(50, 50))
		a := startAgent(t, l)
		time.Sleep(2 * time.Second)

		l.set(&l.watchStalled, true)
		l.applyCommands(t, workspace(60, 60))
		time.Sleep(1100 * time.Millisecond)
		_, fresh, _ := a.View("shop")
		is.True(!fresh) // confirmed revision is ahead of the view

		time.Sleep(3 * time.Second)
		view, fresh, _ := a.View("shop")
		is.True(fresh)
		is.Equal(view.Revision(), l.machine.View().Revision())
	})
}

// Guards against RateExceeded for a workspace within its rate when the instance
// merely has no share of it.
func TestMissingShareIsNotRateExceeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLeader()
		l.applyCommands(t, workspace(50, 50))
		l.set(&l.recovering, true)
		a := startAgent(t, l)
		time.Sleep(2 * time.Second)
		is.Equal(corianderwing.CodeOf(a.Take(t.Context(), shopSettings)), corianderwing.NoShare)

		l.set(&l.recovering, false)
		time.Sleep(5 * time.Second)
		is.NoErr(a.Take(t.Context(), shopSettings))

		over := 0
		for range 500 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			if corianderwing.CodeOf(a.Take(ctx, shopSettings)) != corianderwing.OK {
				over++
			}
			cancel()
		}
		is.True(over > 400) // 500 requests within 0.5 s, rate 50 and burst 50
	})
}

// Guards against an instance that reports an unknown workspace as nonexistent
// before every group has confirmed its view.
func TestAbsenceNeedsEveryGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newLeader()
		l.set(&l.unreachable, true)
		a := startAgent(t, l)
		time.Sleep(2 * time.Second)
		_, sure, ok := a.View("none")
		is.True(!ok && !sure)

		l.set(&l.unreachable, false)
		time.Sleep(2 * time.Second)
		_, sure, ok = a.View("none")
		is.True(!ok && sure)
	})
}
