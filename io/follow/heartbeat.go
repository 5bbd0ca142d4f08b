package follow

import (
	"context"
	"slices"
	"time"

	"corianderwing"
	"corianderwing/io/peer"
	"corianderwing/io/plane"
)

const (
	// maxMisses is the number of consecutive failed heartbeats after which the
	// follower switches to another control instance. One that it switched to for this
	// reason is left after the first: the nearest ones may all be lost.
	maxMisses = 2
	// missInterval is the heartbeat interval after a failed heartbeat. It doubles with
	// each further one, up to heartbeatInterval: all control instances may be lost.
	missInterval = 80 * time.Millisecond
	// startupInterval is the heartbeat interval while the control instance has no
	// shares to give because it has just started or knows no leader. Until a state
	// has been received, the interval doubles with each heartbeat, up to
	// maxStartupInterval: at the start of a deployment all entry instances call
	// the seeds.
	startupInterval    = 80 * time.Millisecond
	maxStartupInterval = 320 * time.Millisecond
	// sharesInterval is the heartbeat interval while the control instance has none of
	// the shares that this instance asked for.
	sharesInterval = 160 * time.Millisecond
	// maxConfirmationAge is the age of the last confirmation above which other
	// control instances are probed, because the followed one may itself have lost
	// contact with the leader.
	maxConfirmationAge = 1100 * time.Millisecond
	// minFreshnessGain is how much more recent the confirmation of another control
	// instance must be to switch to it. While no leader is known, the confirmations
	// of all control instances are equally old.
	minFreshnessGain = 400 * time.Millisecond
	// probeInterval is the interval at which other control instances are probed,
	// and nearestProbeInterval that at which the nearest one is probed while another
	// is followed.
	probeInterval        = 400 * time.Millisecond
	nearestProbeInterval = 1200 * time.Millisecond
	// minCompressedDemands is the number of workspaces from which on a heartbeat is
	// compressed: 40 bytes for each, and 30 in the response. Before, compression
	// costs more processor time than it saves, most of all at the start, when all
	// entry instances call the seeds and know no workspaces yet.
	minCompressedDemands = 24
)

func (f *Follower) heartbeatLoop() {
	for n := 0; ; n++ {
		f.heartbeatBoth(f.ctx)
		f.probeAlternative(f.ctx)
		if !f.waitForHeartbeat(f.heartbeatDelay(n)) {
			return
		}
	}
}

// waitForHeartbeat waits until the next heartbeat is due: after d, or at once when
// the first state has been received, because this instance can only then ask for
// its shares of rate limits. It returns false when the follower is closed.
func (f *Follower) waitForHeartbeat(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-f.stateReceived:
		return true
	case <-f.ctx.Done():
		return false
	}
}

// heartbeatDelay returns the time until the next heartbeat, after n heartbeats
// before the last one.
func (f *Follower) heartbeatDelay(n int) time.Duration {
	info := f.info.Load()
	if _, known := f.View(); !known {
		return min(startupInterval<<min(n, 8), maxStartupInterval)
	}
	if n := f.failures(); n > 0 {
		return min(missInterval<<min(n-1, 8), heartbeatInterval)
	}
	if info.LeaseDuration <= 0 {
		return startupInterval
	}
	if f.sharesMissing.Load() {
		return sharesInterval
	}
	if len(info.MoveShares) > 0 {
		return moveHeartbeatInterval
	}
	return heartbeatInterval
}

// failures returns the number of failed heartbeats since the last reply.
func (f *Follower) failures() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failed
}

// heartbeat sends a heartbeat to the followed control instance and applies the
// reply.
func (f *Follower) heartbeat(ctx context.Context) {
	f.mu.Lock()
	addr := f.current
	f.heartbeatAt = f.cfg.Now()
	f.mu.Unlock()
	reply, age, err := f.sendHeartbeat(ctx, addr, f.cfg.TakeTrials())
	f.mu.Lock()
	f.heartbeatAt = time.Time{}
	f.mu.Unlock()
	if err != nil && !f.follows(addr) {
		return // the lost grantor has answered meanwhile
	}
	f.recordLeader(addr, err != nil || !reply.Confirmed, err)
	if err != nil {
		f.recordMiss(addr, err.Error())
		return
	}
	f.info.Store(reply)
	f.cfg.SetShares(reply.MoveShares)
	if _, known := f.View(); !reply.Confirmed && !known {
		f.recordMiss(addr, "no leader known")
		return
	}
	f.recordReply(addr, age)
}

// follows reports whether this instance follows the control instance at an address.
func (f *Follower) follows(addr string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current == addr
}

// sendHeartbeat sends a heartbeat to a control instance and returns its reply and the
// age of its confirmation. A confirmation extends the lease no matter which control
// instance it comes from.
func (f *Follower) sendHeartbeat(ctx context.Context, addr string, trials []plane.Trial) (*plane.HeartbeatResponse, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := f.cfg.Now()
	f.mu.Lock()
	known, knownLoans, followed := f.listsVersion, f.loans.version, addr == f.current
	f.mu.Unlock()
	demands := f.cfg.Limits.Needs(addr)
	method := plane.HeartbeatMethod
	method.Compressed = len(demands) >= minCompressedDemands
	q := &plane.HeartbeatRequest{
		Entry:            f.cfg.Self(),
		Demands:          demands,
		InstancesVersion: known,
		LoansVersion:     knownLoans,
		Trials:           trials,
	}
	if followed {
		f.addUsage(q, addr, sent)
	}
	reply, err := peer.Call(ctx, f.peer, addr, method, q)
	if err != nil {
		return nil, 0, err
	}
	if followed {
		f.acknowledgeUsage(q, addr, reply, sent)
	}
	if followed {
		f.recordShares(addr, len(demands), len(reply.Shares))
	}
	left := time.Duration(reply.LeaseDuration) * time.Millisecond
	until := corianderwing.HolderDeadline(sent, left)
	f.cfg.Limits.SetShares(addr, reply.Shares, until)
	if len(reply.Shares) > 0 {
		f.recordGrantor(addr, until)
	}
	f.setLoans(reply, knownLoans, sent)
	if !reply.Confirmed {
		return reply, neverConfirmed, nil
	}
	f.setInstances(reply)
	age := time.Duration(reply.Age) * time.Millisecond
	f.confirm(reply.Revision, corianderwing.HolderDeadline(sent.Add(-age), f.cfg.Lease))
	return reply, age, nil
}

// recordLeader records whether a heartbeat found no leader.
func (f *Follower) recordLeader(addr string, missing bool, err error) {
	if f.leaderMissing.Swap(missing) != missing {
		f.cfg.Log.Info().Str("control", addr).Bool("missing", missing).Err(err).Msg("leader missing or found")
	}
}

// recordShares records whether a reply of the followed control instance held shares
// of rate limits, if any were asked for.
func (f *Follower) recordShares(addr string, asked, got int) {
	missing := asked > 0 && got == 0
	if f.sharesMissing.Swap(missing) != missing {
		f.cfg.Log.Info().Str("control", addr).Bool("missing", missing).Int("workspaces", asked).Msg("shares of rate limits missing or received")
	}
}

// neverConfirmed is the age reported when there has been no confirmation.
const neverConfirmed = time.Hour

// recordReply records a reply from the followed control instance. If the watch has
// not delivered a confirmed revision within lagTimeout, it is reopened.
func (f *Follower) recordReply(addr string, age time.Duration) {
	now := f.cfg.Now()
	s := f.state.Load()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != addr {
		return
	}
	f.misses, f.failed, f.failedOver, f.lastReply, f.confirmationAge = 0, 0, false, now, age
	switch {
	case !s.lags():
		f.laggingSince = time.Time{}
	case f.laggingSince.IsZero():
		f.laggingSince = now
	case now.Sub(f.laggingSince) > lagTimeout && f.cancelWatch != nil:
		f.laggingSince = time.Time{}
		f.cancelWatch()
	}
}

// probeAlternative sends a heartbeat to another control instance when a probe is
// due: to the nearest one if another is followed, or else to each of the others in
// turn while the followed one's confirmation is too old. It switches to the probed
// instance if that is nearer or has a more recent confirmation.
func (f *Follower) probeAlternative(ctx context.Context) {
	now := f.cfg.Now()
	f.mu.Lock()
	current, currentAge := f.current, f.confirmationAge
	nearest := f.controls[0].PeerAddr
	since := now.Sub(f.lastProbe)
	target := ""
	switch {
	case current != nearest && since >= nearestProbeInterval:
		target = nearest
	case currentAge > maxConfirmationAge && since >= probeInterval:
		f.probeIndex++
		target = f.controls[f.probeIndex%len(f.controls)].PeerAddr
	}
	if target != "" {
		f.lastProbe = now
	}
	f.mu.Unlock()
	if target == "" || target == current {
		return
	}
	_, age, err := f.sendHeartbeat(ctx, target, nil)
	if err != nil {
		return // the next probe retries
	}
	if target == nearest && age <= max(maxConfirmationAge, currentAge) || age+minFreshnessGain < currentAge {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.switchTo(target, "nearer or more recently confirmed")
	}
}

// recordMiss records a failed heartbeat, and switches to the next control instance
// after maxMisses of them, or at once if no state has been received.
func (f *Follower) recordMiss(addr, reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.misses++
	f.failed++
	if _, known := f.View(); f.current != addr || known && !f.failedOver && f.misses < maxMisses {
		return
	}
	f.leaveGrantor(addr)
	i := slices.IndexFunc(f.controls, func(c plane.ControlInstance) bool { return c.PeerAddr == addr })
	f.switchTo(f.controls[(i+1)%len(f.controls)].PeerAddr, reason)
	f.failedOver = true
}

// switchTo switches to another control instance. f.mu must be held.
func (f *Follower) switchTo(addr, reason string) {
	if f.current == addr {
		return
	}
	f.cfg.Log.Info().Str("control", f.current).Str("next", addr).Str("reason", reason).Msg("control instance changed")
	f.current, f.misses, f.failedOver, f.confirmationAge = addr, 0, false, 0
	f.lastReply = time.Time{}
	f.lastProbe = f.cfg.Now()
	close(f.switched)
	f.switched = make(chan struct{})
}

// setInstances replaces the lists of control instances, sorted by proximity, and of
// neighbors, unless the reply omits them. Seeds that are not in the list are kept
// at its end.
func (f *Follower) setInstances(r *plane.HeartbeatResponse) {
	list := r.Controls
	if len(list) == 0 {
		return
	}
	self := f.cfg.Self()
	rank := func(c plane.ControlInstance) int {
		switch {
		case c.Domain == self.Domain:
			return 0
		case c.Region == self.Region:
			return 1
		}
		return 2
	}
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b plane.ControlInstance) int { return rank(a) - rank(b) })
	f.mu.Lock()
	defer f.mu.Unlock()
	f.controls, f.neighbors, f.relays, f.listsVersion = list, r.Neighbors, r.Relays, r.InstancesVersion
	for _, s := range f.seeds {
		if !slices.ContainsFunc(f.controls, func(c plane.ControlInstance) bool { return c.PeerAddr == s }) {
			f.controls = append(f.controls, plane.ControlInstance{PeerAddr: s})
		}
	}
	if f.current != list[0].PeerAddr && f.lastProbe.IsZero() {
		f.switchTo(list[0].PeerAddr, "nearest")
	}
}
