package plane

import (
	"context"
	"time"

	"corianderwing"
	"corianderwing/core/crash"
	"corianderwing/core/model"
)

// handleSuspects commits what an entry instance observed of requests that crash
// upstreams. It answers once this instance's state includes it.
func (p *Plane) handleSuspects(ctx context.Context, q *SuspectRequest) (*SuspectResponse, error) {
	revision, err := p.commit(ctx, model.NewSuspectCommand(q.Events))
	if err != nil {
		return nil, err
	}
	view, err := p.waitRevision(ctx, revision)
	if err != nil {
		return nil, err
	}
	return &SuspectResponse{Revision: revision, Granted: granted(view.Suspects(), q.Events)}, nil
}

// granted reports whether the claims of probes among the events were granted.
func granted(t *crash.Table, list []crash.Event) bool {
	claims := 0
	for _, e := range list {
		if e.Kind != crash.Probe {
			continue
		}
		claims++
		if s, ok := t.Lookup(e.Fingerprint); !ok || !s.Granted(e.By, e.Probes) {
			return false
		}
	}
	return claims > 0
}

// waitRevision waits until this instance has applied a revision.
func (p *Plane) waitRevision(ctx context.Context, r corianderwing.Revision) (*model.View, error) {
	for {
		changed := p.machine.Changed()
		if v := p.machine.View(); v.Revision() >= r {
			return v, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, corianderwing.Errorf(corianderwing.NoQuorum, "revision %d is not applied yet", r)
		}
	}
}

// expireSuspects removes the suspects that have not changed for a long time.
func (p *Plane) expireSuspects() {
	list := p.machine.View().Suspects().Expired(time.Now())
	if len(list) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, batchTimeout)
	defer cancel()
	err := p.propose(ctx, model.NewSuspectCommand(list))
	p.log.Info().Int("suspects", len(list)).Err(err).Msg("suspects expired")
}
