package plane

import (
	"context"
	"time"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/io/clock"
)

// expiredUpstreams returns the upstreams whose heartbeats have timed out. It
// returns none until the leader has observed heartbeats for at least the
// timeout.
func (l *leaderState) expiredUpstreams(term corianderwing.Term, v *model.View, now time.Time) []model.UpstreamRef {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ensureTerm(term, now)
	timeout := time.Duration(maxMissedHeartbeats) * l.heartbeatInterval
	if now.Sub(l.lastExpiryCheck) > timeout/2 {
		// This instance was suspended and received no reports meanwhile, so
		// missing heartbeats prove nothing.
		l.observedSince = now
		clear(l.lastHeartbeats)
	}
	l.lastExpiryCheck = now
	if now.Sub(l.observedSince) < timeout {
		return nil
	}
	var expired []model.UpstreamRef
	v.EachUpstream(func(u *model.Upstream) {
		at, ok := l.lastHeartbeats[u.ShortID]
		switch {
		case !ok:
			l.lastHeartbeats[u.ShortID] = now // the timeout starts now
		case now.Sub(at) >= timeout:
			expired = append(expired, model.UpstreamRef{ID: u.ID, Incarnation: u.Incarnation})
		}
	})
	return expired
}

// maxMissedHeartbeats is the number of heartbeat intervals after which an
// upstream without heartbeats is removed. Entry instances detect a dead
// upstream sooner on their own.
const maxMissedHeartbeats = 5

// expireLoop forgets silent upstreams, and removes those whose heartbeats have
// timed out while this instance is the leader.
func (p *Plane) expireLoop() {
	for clock.Sleep(p.ctx, p.cfg.HeartbeatInterval/2) {
		p.heartbeats.forgetSilent(clock.Boot())
		term, ok := p.replica.IsLeader()
		if !ok {
			continue
		}
		p.expireSuspects()
		expired := p.leaderState.expiredUpstreams(term, p.machine.View(), clock.Boot())
		if len(expired) == 0 {
			continue
		}
		ctx, cancel := context.WithTimeout(p.ctx, batchTimeout)
		err := p.proposeInTerm(ctx, term, expireCommand(p.machine.View(), expired))
		cancel()
		for _, l := range expired {
			p.log.Info().Str("upstream", string(l.ID)).Int("beats", maxMissedHeartbeats).Err(err).Msg("silent upstream removed")
		}
	}
}

// expireCommand returns the command that removes silent upstreams. One that was
// ready may return, because its heartbeats may only have been lost. One that was
// draining must not: a late heartbeat from before its drain says that it is ready.
// Replicas decide this again when they apply the command; those of earlier versions do
// not.
func expireCommand(v *model.View, expired []model.UpstreamRef) *model.Command {
	c := &model.Command{}
	for _, ref := range expired {
		if u, ok := v.Upstream(ref.ID); ok && u.Phase == corianderwing.Draining {
			c.Remove = append(c.Remove, ref)
			continue
		}
		c.Expire = append(c.Expire, ref)
	}
	return c
}
