package follow

import (
	"context"
	"sync"
	"time"
)

// A control instance that restarts does not know what it granted, but it counts the
// tokens that an entry instance reports to hold from it. Those from another control
// instance are reported to nobody as held, so that no two grantors count them: a new
// leader keeps them back until they have expired. After a loss of all control
// instances, entry instances that follow another one than before therefore lose their
// shares, and get new ones only after the grace period has begun to end.

// grantor is the control instance that granted the present shares of rate limits.
type grantor struct {
	addr  string    // peer address; empty for none
	until time.Time // end of the shares, on the boot clock
}

// valid reports whether the shares are still valid.
func (g grantor) valid(now time.Time) bool { return g.addr != "" && now.Before(g.until) }

// recordGrantor records the shares that the followed control instance granted.
func (f *Follower) recordGrantor(addr string, until time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current == addr {
		f.grantor = grantor{addr, until}
	}
}

// leaveGrantor remembers a control instance that does not answer, if this instance
// holds valid shares from it. f.mu must be held.
func (f *Follower) leaveGrantor(addr string) {
	if f.grantor.addr == addr && f.grantor.valid(f.cfg.Now()) {
		f.lostGrantor = f.grantor
	}
}

// Returns returns how often this instance has returned to a lost grantor.
func (f *Follower) Returns() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.returns
}

// heartbeatBoth sends a heartbeat to the followed control instance and, at the same
// time, one to the lost grantor of valid shares, and returns to that one as soon as it
// answers.
func (f *Follower) heartbeatBoth(ctx context.Context) {
	addr, ok := f.grantorToProbe()
	if !ok {
		f.heartbeat(ctx)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() {
		if f.probeGrantor(ctx, addr) {
			cancel() // the heartbeat to the instance that is left
		}
	})
	f.heartbeat(ctx)
	wg.Wait()
}

// grantorToProbe returns the lost grantor while its shares are valid. The followed
// instance is never returned: two heartbeats to the same control instance at once
// could apply shares in the wrong order.
func (f *Follower) grantorToProbe() (string, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g := f.lostGrantor
	now := f.cfg.Now()
	if g.addr == f.current || !g.valid(now) {
		f.lostGrantor = grantor{}
		return "", false
	}
	if g.addr == f.controls[0].PeerAddr {
		f.lastProbe = now // probeAlternative would wait for it a second time
	}
	return g.addr, true
}

// probeGrantor sends a heartbeat to the lost grantor, and returns to it if it answers
// and is not behind the followed control instance.
func (f *Follower) probeGrantor(ctx context.Context, addr string) bool {
	_, age, err := f.sendHeartbeat(ctx, addr, nil)
	if err != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failed == 0 && age > max(maxConfirmationAge, f.confirmationAge) {
		return false
	}
	f.switchTo(addr, "granted the present shares")
	f.failed = 0
	f.lostGrantor = grantor{}
	f.returns++
	return true
}
