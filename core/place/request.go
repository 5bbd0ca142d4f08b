package place

import (
	"slices"
	"time"

	"corianderwing"
	"corianderwing/core/model"
)

// ID identifies a request within a Pool.
type ID uint64

// Request is a request to be scheduled on an upstream.
type Request struct {
	ID                 ID
	Object             uint64 // hash of the affinity key; 0 for none
	Class              corianderwing.RouteID
	Workspace          corianderwing.WorkspaceID // empty if the request has no key
	Rank               int                       // 0 is the most urgent
	Retried            bool                      // the caller was rejected before
	Goal               time.Time
	Deadline           time.Time
	HomeRegions        []corianderwing.RegionID // regions that may run the request; empty for all
	ExcludedUpstreams  []corianderwing.UpstreamID
	CurrentVersionOnly bool // never run on the new version during a version move
	NoForward          bool // never forward to another failure domain
	RequireGoal        bool // reject unless the goal can be met here
	overShare          bool // the workspace has used more than its share of the slots
}

// hasHomes reports whether only some regions may run the request.
func (r *Request) hasHomes() bool { return len(r.HomeRegions) > 0 }

// mayRunIn reports whether a region may run the request. A failure domain that is not
// in the settings has the region "", which is nobody's home.
func (r *Request) mayRunIn(region corianderwing.RegionID) bool {
	return len(r.HomeRegions) == 0 || region != "" && slices.Contains(r.HomeRegions, region)
}

// Grant is an upstream slot that a request holds until Release.
type Grant struct {
	Upstream        *model.Upstream
	ExpectedLatency time.Duration // expected time to the first byte of the response
	MissLatency     time.Duration // the same on a cache miss; 0 if no miss was measured
	ExpectHit       bool          // a cache hit is expected
	ColdStart       bool          // the upstream is still in its cold start
	NextVersion     bool          // the upstream runs the target version of a move
}
