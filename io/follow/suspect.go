package follow

import (
	"context"
	"time"

	"corianderwing"
	"corianderwing/core/crash"
	"corianderwing/io/peer"
	"corianderwing/io/plane"
)

// suspectTimeout bounds a report of crashes: a commit, of which the control instance
// is told within the round trip to another region.
const suspectTimeout = 600 * time.Millisecond

// ReportCrashes sends observations of requests that crash upstreams to the followed
// control instance, and returns the revision of the state that includes them.
func (f *Follower) ReportCrashes(ctx context.Context, list []crash.Event) (corianderwing.Revision, error) {
	r, err := f.sendSuspects(ctx, list)
	if err != nil {
		return 0, err
	}
	return r.Revision, nil
}

// ClaimProbe asks for the next probe of a quarantined request, and reports whether
// this instance may make it. Of all instances that ask, one may.
func (f *Follower) ClaimProbe(ctx context.Context, fp crash.Fingerprint, probes int) (bool, error) {
	r, err := f.sendSuspects(ctx, []crash.Event{{Kind: crash.Probe, Fingerprint: fp, By: f.cfg.Self().ID, Probes: probes}})
	if err != nil {
		return false, err
	}
	return r.Granted, nil
}

func (f *Follower) sendSuspects(ctx context.Context, list []crash.Event) (*plane.SuspectResponse, error) {
	f.mu.Lock()
	addr := f.current
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, suspectTimeout)
	defer cancel()
	return peer.Call(ctx, f.peer, addr, plane.SuspectMethod, &plane.SuspectRequest{Events: list})
}
