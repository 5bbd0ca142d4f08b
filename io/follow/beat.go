package follow

import (
	"context"
	"slices"
	"time"

	"corianderwing"
	"corianderwing/io/clock"
	"corianderwing/io/peer"
	"corianderwing/io/plane"
)

const (
	// maxMisses is how many beats in a row may fail before another control
	// instance is followed.
	maxMisses = 2
	// firstPause is the pause between two beats while nothing is known yet, or
	// while the control instance has no shares to give because it has just started
	// or knows no leader.
	firstPause = 80 * time.Millisecond
	// maxAge is the age of a confirmation above which other control instances
	// are asked as well: the followed one may be out of touch itself.
	maxAge = 1100 * time.Millisecond
	// fresher is by how much another one must be more current to be followed
	// instead. While no leader is known, all of them are as old.
	fresher = 400 * time.Millisecond
	// scoutEvery is the interval at which another control instance is asked,
	// and homeEvery that at which the nearest one is, if another is followed.
	scoutEvery = 400 * time.Millisecond
	homeEvery  = 1200 * time.Millisecond
)

func (f *Follower) keepBeating() {
	for {
		f.beat(f.ctx)
		f.lookAround(f.ctx)
		if !clock.Sleep(f.ctx, f.pause()) {
			return
		}
	}
}

// pause returns the time until the next beat.
func (f *Follower) pause() time.Duration {
	info := f.info.Load()
	if _, known := f.View(); !known || info.Left <= 0 {
		return firstPause
	}
	if len(info.Moves) > 0 {
		return moveBeat
	}
	return beatEvery
}

// beat sends a beat to the followed control instance and takes over the reply.
func (f *Follower) beat(ctx context.Context) {
	f.mu.Lock()
	addr := f.current
	f.mu.Unlock()
	reply, age, err := f.ask(ctx, addr, f.cfg.TakeTrials())
	if err != nil {
		f.missed(addr, err.Error())
		return
	}
	f.info.Store(reply)
	f.cfg.SetShares(reply.Moves)
	if _, known := f.View(); !reply.Fresh && !known {
		f.missed(addr, "knows no leader yet")
		return
	}
	f.heard(addr, age)
}

// ask sends a beat. Whatever control instance answers, its confirmation extends
// the lease.
func (f *Follower) ask(ctx context.Context, addr string, trials []plane.Trial) (*plane.BeatReply, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	sent := f.cfg.Now()
	reply, err := peer.Call(ctx, f.peer, addr, plane.BeatMethod, &plane.Beat{
		Entry:  f.cfg.Self(),
		Needs:  f.cfg.Limits.Needs(addr),
		Trials: trials,
	})
	if err != nil {
		return nil, 0, err
	}
	left := time.Duration(reply.Left) * time.Millisecond
	f.cfg.Limits.SetShares(addr, reply.Shares, corianderwing.HolderDeadline(sent, left))
	if !reply.Fresh {
		return reply, never, nil
	}
	f.learn(reply.Controls)
	age := time.Duration(reply.Age) * time.Millisecond
	f.extend(reply.Revision, corianderwing.HolderDeadline(sent.Add(-age), f.cfg.Lease))
	return reply, age, nil
}

// never stands for the age of a confirmation that there has not been.
const never = time.Hour

// heard notes that the followed control instance answered. If it does not send
// what was confirmed, the watch is opened again.
func (f *Follower) heard(addr string, age time.Duration) {
	now := f.cfg.Now()
	s := f.state.Load()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != addr {
		return
	}
	f.misses, f.answered, f.stale = 0, now, age
	switch {
	case !s.lags():
		f.lagging = time.Time{}
	case f.lagging.IsZero():
		f.lagging = now
	case now.Sub(f.lagging) > lagTimeout && f.watching != nil:
		f.lagging = time.Time{}
		f.watching()
	}
}

// lookAround asks another control instance now and then: the nearest one, if
// another is followed, or else any while the followed one is out of touch.
func (f *Follower) lookAround(ctx context.Context) {
	now := f.cfg.Now()
	f.mu.Lock()
	current, stale := f.current, f.stale
	home := f.controls[0].Peer
	since := now.Sub(f.scouted)
	target := ""
	switch {
	case current != home && since >= homeEvery:
		target = home
	case stale > maxAge && since >= scoutEvery:
		f.scout++
		target = f.controls[f.scout%len(f.controls)].Peer
	}
	if target != "" {
		f.scouted = now
	}
	f.mu.Unlock()
	if target == "" || target == current {
		return
	}
	_, age, err := f.ask(ctx, target, nil)
	if err != nil {
		return // it is asked again
	}
	if target == home && age <= max(maxAge, stale) || age+fresher < stale {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.turnTo(target, "nearer or more current")
	}
}

// missed notes that the followed control instance did not answer.
func (f *Follower) missed(addr, reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.misses++
	if _, known := f.View(); f.current != addr || known && f.misses < maxMisses {
		return
	}
	i := slices.IndexFunc(f.controls, func(c plane.Control) bool { return c.Peer == addr })
	f.turnTo(f.controls[(i+1)%len(f.controls)].Peer, reason)
}

// turnTo follows another control instance. The lock is held.
func (f *Follower) turnTo(addr, reason string) {
	if f.current == addr {
		return
	}
	f.cfg.Log.Info().Str("control", f.current).Str("next", addr).Str("reason", reason).Msg("control instance changed")
	f.current, f.misses, f.stale = addr, 0, 0
	f.answered = time.Time{}
	f.scouted = f.cfg.Now()
	close(f.moved)
	f.moved = make(chan struct{})
}

// learn takes over which control instances there are, the nearest first.
func (f *Follower) learn(list []plane.Control) {
	if len(list) == 0 {
		return
	}
	self := f.cfg.Self()
	rank := func(c plane.Control) int {
		switch {
		case c.Domain == self.Domain:
			return 0
		case c.Region == self.Region:
			return 1
		}
		return 2
	}
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b plane.Control) int { return rank(a) - rank(b) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.controls = list
	for _, s := range f.seeds {
		if !slices.ContainsFunc(f.controls, func(c plane.Control) bool { return c.Peer == s }) {
			f.controls = append(f.controls, plane.Control{Peer: s})
		}
	}
	if f.current != list[0].Peer && f.scouted.IsZero() {
		f.turnTo(list[0].Peer, "nearest")
	}
}
