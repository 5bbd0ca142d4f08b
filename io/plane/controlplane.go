package plane

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/io/clock"
)

// warmupEndTolerance is the maximum difference between the end of a cold start given in
// a heartbeat and the announced one that does not count as a change: heartbeats take
// differently long.
const warmupEndTolerance = 100 * time.Millisecond

// Heartbeat implements corianderwing.ControlPlane.
func (p *Plane) Heartbeat(ctx context.Context, h corianderwing.Heartbeat) error {
	view, now := p.machine.View(), clock.Boot()
	if view.Stale(&h.Upstream) || p.heartbeats.outdated(&h, now) {
		return nil
	}
	u, known := view.Upstream(h.ID)
	if known && u.Incarnation == h.Incarnation && !hasChanged(u, &h) && !p.heartbeats.extendsWarmup(&h, now) {
		p.heartbeats.record(u.ShortID, now)
		return p.requireReporting(now)
	}
	revision, err := p.batch.add(ctx, func(c *model.Command) {
		c.Announce = append(c.Announce, model.Announcement{Upstream: h.Upstream, WarmupRemaining: h.Cold})
	})
	if err == nil {
		p.heartbeats.recordWarmup(&h, now)
	}
	p.log.Info().Str("upstream", string(h.ID)).Str("pool", string(h.Pool)).Str("addr", h.Addr).
		Str("version", string(h.Version)).Str("phase", string(h.Phase)).Int64("cold", int64(h.Cold)).
		Uint64("incarnation", uint64(h.Incarnation)).Uint64("seq", h.Seq).Bool("known", known).
		Uint64("revision", uint64(revision)).Err(err).Msg("upstream announced")
	return err
}

// requireReporting returns an error if this instance is cut off from the leader and
// cannot tell it of a heartbeat in time. The upstream then sends it to another instance;
// the leader would remove an upstream whose heartbeats were acknowledged here. A leader
// that is only too busy to answer still hears of them.
func (p *Plane) requireReporting(now time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.confirmedAt) < maxReportedAge || p.knowsLeader() {
		return nil
	}
	return corianderwing.Errorf(corianderwing.NoLeader, "the leader has not answered for %v", maxReportedAge)
}

// hasChanged reports whether a heartbeat differs from the known state of its
// upstream, apart from the warm-up.
func hasChanged(u *model.Upstream, h *corianderwing.Heartbeat) bool {
	if u.Addr != h.Addr || u.Pool != h.Pool || u.Version != h.Version || u.Domain != h.Domain || u.Slots != h.Slots {
		return true
	}
	return h.Phase == corianderwing.Draining && u.Phase != corianderwing.Draining
}

// RemoveUpstream implements corianderwing.ControlPlane.
func (p *Plane) RemoveUpstream(ctx context.Context, id corianderwing.UpstreamID, i corianderwing.Incarnation) error {
	_, known := p.machine.View().Upstream(id)
	if i == 0 {
		var err error
		if i, err = p.lastIncarnation(ctx, id); err != nil {
			p.log.Warn().Str("upstream", string(id)).Bool("known", known).Err(err).Msg("incarnation of an upstream that leaves is unknown")
			return err
		}
	}
	revision, err := p.batch.add(ctx, func(c *model.Command) {
		c.Remove = append(c.Remove, model.UpstreamRef{ID: id, Incarnation: i})
	})
	p.log.Info().Str("upstream", string(id)).Uint64("incarnation", uint64(i)).Bool("known", known).
		Uint64("revision", uint64(revision)).Err(err).Msg("upstream left")
	return err
}

// lastIncarnation returns the last known incarnation of an upstream that did not name
// it, or 0. The state of this instance alone may lack an incarnation that others use.
func (p *Plane) lastIncarnation(ctx context.Context, id corianderwing.UpstreamID) (corianderwing.Incarnation, error) {
	view, err := p.confirmed(ctx)
	if err != nil {
		return 0, err
	}
	return max(view.LastIncarnation(id), p.heartbeats.lastIncarnation(id)), nil
}

// Edit implements corianderwing.ControlPlane.
func (p *Plane) Edit(ctx context.Context, e corianderwing.Edit) error {
	err := p.propose(ctx, &model.Command{Edit: &e})
	p.log.Info().Int("rules", len(e.Rules)).Int("tenures", len(e.WorkspacePolicies)).Int("pools", len(e.Pools)).
		Int("drops", len(e.Deletions)).Any("homes", homesOf(&e)).Err(err).Msg("edit")
	return err
}

// homesOf returns the home regions of the items of an edit that have some, by item
// and version, for the log.
func homesOf(e *corianderwing.Edit) map[string][]corianderwing.RegionID {
	homes := map[string][]corianderwing.RegionID{}
	add := func(name string, v corianderwing.Version, regions []corianderwing.RegionID) {
		if len(regions) > 0 {
			homes[name+"@"+strconv.FormatUint(uint64(v), 10)] = regions
		}
	}
	for i := range e.Rules {
		add(string(e.Rules[i].Name), e.Rules[i].Version, e.Rules[i].HomeRegions)
	}
	for i := range e.WorkspacePolicies {
		add(string(e.WorkspacePolicies[i].Name), e.WorkspacePolicies[i].Version, e.WorkspacePolicies[i].HomeRegions)
	}
	return homes
}

// Items implements corianderwing.ControlPlane.
func (p *Plane) Items(ctx context.Context) (corianderwing.Edit, error) {
	view, err := p.confirmedView(ctx)
	if err != nil {
		return corianderwing.Edit{}, err
	}
	return view.Items().All(), nil
}

// confirmedView returns a view that includes everything that was committed
// before the call.
func (p *Plane) confirmedView(ctx context.Context) (*model.View, error) {
	index, err := p.replica.Confirm(ctx)
	if err != nil {
		return nil, err
	}
	if err := p.waitApplied(ctx, index); err != nil {
		return nil, err
	}
	return p.machine.View(), nil
}

// Move implements corianderwing.ControlPlane.
func (p *Plane) Move(ctx context.Context, pool corianderwing.PoolID, to corianderwing.VersionID, by time.Time) error {
	now := time.Now()
	m := corianderwing.Move{
		ID:   corianderwing.RequestID(string(pool) + "." + string(to)),
		Pool: pool, To: to, Start: now.UTC(), By: by.UTC(),
	}
	err := p.propose(ctx, &model.Command{Move: &m})
	p.log.Info().Str("pool", string(pool)).Str("version", string(to)).Time("by", by).Err(err).Msg("move ordered")
	return err
}

// LatestMove implements corianderwing.ControlPlane.
func (p *Plane) LatestMove(ctx context.Context, pool corianderwing.PoolID) (corianderwing.Move, error) {
	view, err := p.confirmedView(ctx)
	if err != nil {
		return corianderwing.Move{}, err
	}
	m, ok := view.LatestMove(pool)
	if !ok {
		return m, corianderwing.Errorf(corianderwing.NotFound, "pool %s has no move", pool)
	}
	return m, nil
}

// Evacuate implements corianderwing.ControlPlane.
func (p *Plane) Evacuate(ctx context.Context, d corianderwing.DomainID, on bool) error {
	err := p.propose(ctx, &model.Command{Evacuate: &model.Evacuation{Domain: d, On: on}})
	p.log.Info().Str("domain", string(d)).Bool("on", on).Err(err).Msg("evacuation")
	return err
}

// LocateEntries implements corianderwing.ControlPlane.
func (p *Plane) LocateEntries(region corianderwing.RegionID, d corianderwing.DomainID) ([]string, time.Time, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Boot()
	addrs := nearestEntries(p.entriesElsewhere(now), region, d)
	if len(addrs) == 0 {
		addrs = nearestEntries(p.liveEntries(now), region, d)
	}
	if len(addrs) == 0 {
		return nil, time.Time{}, corianderwing.Errorf(corianderwing.NoUpstream, "no entry instance is known")
	}
	return addrs, time.Now().Add(p.cfg.LookupTTL), nil
}

// maxLocateAge is the age of the last confirmation by the leader above which this
// instance is probably cut off. Entry instances that follow it refuse requests then,
// because their settings may be outdated.
const maxLocateAge = 2 * time.Second

// entriesElsewhere returns the entry instances that do not follow this instance, if it is
// probably cut off: they may serve callers that it sends to them. The caller must hold
// p.mu.
func (p *Plane) entriesElsewhere(now time.Time) []corianderwing.Instance {
	if now.Sub(p.confirmedAt) <= maxLocateAge {
		return nil
	}
	var list []corianderwing.Instance
	for _, e := range p.entries {
		if _, here := p.localEntries[e.ID]; !here {
			list = append(list, e)
		}
	}
	return list
}

// liveEntries returns the live entry instances: those listed by the leader and
// those that send heartbeats to this instance. The caller must hold p.mu.
func (p *Plane) liveEntries(now time.Time) []corianderwing.Instance {
	list := make([]corianderwing.Instance, 0, len(p.entries))
	for _, e := range p.entries {
		if _, here := p.localEntries[e.ID]; !here {
			list = append(list, e)
		}
	}
	for _, b := range p.localEntries {
		if now.Sub(b.lastHeartbeat) <= instanceTTL {
			list = append(list, b.entry)
		}
	}
	return list
}

// nearestEntries returns the public addresses of the ready entry instances in a
// failure domain, or else in its region, or else anywhere.
func nearestEntries(list []corianderwing.Instance, region corianderwing.RegionID, d corianderwing.DomainID) []string {
	for _, matches := range []func(corianderwing.Instance) bool{
		func(e corianderwing.Instance) bool { return e.Domain == d },
		func(e corianderwing.Instance) bool { return e.Region == region },
		func(corianderwing.Instance) bool { return true },
	} {
		var out []string
		for _, e := range list {
			if e.Phase == corianderwing.Ready && matches(e) {
				out = append(out, e.PublicAddr)
			}
		}
		if len(out) > maxLocated {
			// Callers choose among the addresses at random, so each response must
			// hold other ones.
			rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
			out = out[:maxLocated]
		}
		if len(out) > 0 {
			return out
		}
	}
	return nil
}

// maxLocated is the maximum number of entry instances in the response to a lookup.
// Callers reject longer responses.
const maxLocated = 64
