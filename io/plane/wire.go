package plane

import (
	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/core/quota"
	"corianderwing/core/shift"
	"corianderwing/core/steer"
	"corianderwing/io/desk"
	"corianderwing/io/peer"
)

// HeartbeatRequest is what an entry instance tells a control instance several times a
// second.
type HeartbeatRequest struct {
	Entry   corianderwing.Instance `json:"entry"`
	Demands []quota.Demand         `json:"needs,omitempty"`
	// Trials are what the instance counted for moves since its last beat.
	Trials []Trial `json:"trials,omitempty"`
}

// Trial is what was counted for one move.
type Trial struct {
	Pool    corianderwing.PoolID    `json:"pool"`
	Move    corianderwing.RequestID `json:"move"`
	Running int                     `json:"running,omitempty"` // requests of the old version now
	Samples []shift.Sample          `json:"samples,omitempty"`
}

// MoveShare is the share of the requests that a move's new version gets.
type MoveShare struct {
	Pool  corianderwing.PoolID    `json:"pool"`
	Move  corianderwing.RequestID `json:"move"`
	Share float64                 `json:"share"`
}

// HeartbeatResponse tells an entry instance how current the control instance is.
type HeartbeatResponse struct {
	// Age is how long before the reply the leader confirmed Revision.
	Age       corianderwing.Millis   `json:"age"`
	Revision  corianderwing.Revision `json:"revision"`
	Confirmed bool                   `json:"fresh,omitempty"` // Age and Revision are known
	// Controls are the control instances that the leader hears of, and the
	// seeds.
	Controls []ControlInstance `json:"controls,omitempty"`
	// Neighbors are the live entry instances of the same failure domain.
	Neighbors []corianderwing.Instance `json:"neighbors,omitempty"`
	// Shares of the limits of workspaces. They are valid for LeaseDuration after the
	// beat was sent.
	Shares        []quota.Share        `json:"shares,omitempty"`
	LeaseDuration corianderwing.Millis `json:"left,omitempty"`
	// MoveShares are the moves under way.
	MoveShares []MoveShare `json:"moves,omitempty"`
}

// BorrowRequest asks a control instance for a token of its own share of a workspace's
// bound, for a request that waits, or gives one back.
type BorrowRequest struct {
	Workspace corianderwing.WorkspaceID `json:"workspace"`
	Return    bool                      `json:"back,omitempty"`
}

// BorrowResponse answers a BorrowRequest. Without a token, RetryAfter tells when there may be one.
type BorrowResponse struct {
	OK         bool                 `json:"ok,omitempty"`
	RetryAfter corianderwing.Millis `json:"after,omitempty"`
}

// AcquireRequest asks a control instance for a slot of an upstream, for a request of a
// failure domain.
type AcquireRequest struct {
	Domain             corianderwing.DomainID     `json:"domain,omitempty"`
	ID                 place.ID                   `json:"id,omitempty"`   // of a request that waits already; only MaxWait is set besides
	MaxWait            corianderwing.Millis       `json:"wait,omitempty"` // longest time for which the call may wait
	Pool               corianderwing.PoolID       `json:"pool"`
	Object             uint64                     `json:"object,omitempty"`
	Class              corianderwing.RouteID      `json:"class"`
	Rank               int                        `json:"rank,omitempty"`
	Retried            bool                       `json:"again,omitempty"`
	Goal               corianderwing.Millis       `json:"goal"` // time left until it
	Timeout            corianderwing.Millis       `json:"left"` // time left until the deadline
	HomeRegions        []corianderwing.RegionID   `json:"homes,omitempty"`
	ExcludedUpstreams  []corianderwing.UpstreamID `json:"tried,omitempty"`
	CurrentVersionOnly bool                       `json:"steady,omitempty"`
	NoForward          bool                       `json:"stay,omitempty"`   // do not send it to another desk
	RequireGoal        bool                       `json:"timely,omitempty"` // only if it can be in time for its goal
}

// AcquireResponse is the answer: a slot, a refusal, or that the request waits and has
// to call again with its ID.
type AcquireResponse struct {
	Waiting         bool                      `json:"waiting,omitempty"`
	Waited          corianderwing.Millis      `json:"waited,omitempty"` // in this call
	ID              place.ID                  `json:"id,omitempty"`
	Upstream        corianderwing.UpstreamID  `json:"upstream,omitempty"`
	Incarnation     corianderwing.Incarnation `json:"incarnation,omitempty"`
	ExpectedLatency corianderwing.Millis      `json:"work,omitempty"`    // expected until the first byte
	MissLatency     corianderwing.Millis      `json:"longest,omitempty"` // the same if the upstream does not know the object
	ExpectHit       bool                      `json:"known,omitempty"`
	ColdStart       bool                      `json:"cold,omitempty"`
	NextVersion     bool                      `json:"next,omitempty"`
	ForwardTo       corianderwing.DomainID    `json:"elsewhere,omitempty"` // whose desk is to be asked instead
	RequireGoal     bool                      `json:"timely,omitempty"`    // elsewhere only if it can be in time there
	Error           *corianderwing.Error      `json:"error,omitempty"`
	RetryAfter      corianderwing.Millis      `json:"after,omitempty"`
}

// ReleaseRequest gives slots back.
type ReleaseRequest struct {
	Domain corianderwing.DomainID `json:"domain"`
	Slots  []ReleasedSlot         `json:"ended"`
}

// ReleasedSlot is a slot that is given back.
type ReleasedSlot struct {
	Pool          corianderwing.PoolID `json:"pool"`
	ID            place.ID             `json:"id"`
	Result        place.Result         `json:"result,omitempty"`
	LatencyMicros int64                `json:"us,omitempty"`    // until the first byte
	DialMicros    int64                `json:"dial,omitempty"`  // µs to open a connection
	Bytes         int                  `json:"bytes,omitempty"` // of the request and its answer
	Load          place.LoadReport     `json:"load,omitzero"`
}

type emptyResponse struct{}

// ControlInstance is a control instance as others know it.
type ControlInstance struct {
	PeerAddr string                 `json:"peer"`
	Domain   corianderwing.DomainID `json:"domain,omitempty"`
	Region   corianderwing.RegionID `json:"region,omitempty"`
}

// watchRequest asks for the updates after a revision.
type watchRequest struct {
	After corianderwing.Revision `json:"after"`
}

// reportRequest is what a control instance tells the leader several times a second.
type reportRequest struct {
	Replica          corianderwing.InstanceID  `json:"replica"`
	Domain           corianderwing.DomainID    `json:"domain"`
	Region           corianderwing.RegionID    `json:"region"`
	Upstreams        []uint32                  `json:"seen,omitempty"` // numbers of upstreams that sent heartbeats
	Entries          []reportedEntry           `json:"entries,omitempty"`
	InstancesVersion uint64                    `json:"known"` // version of the entries that the sender knows
	Incarnation      corianderwing.Incarnation `json:"life"`
	Demands          []quota.Demand            `json:"needs,omitempty"`
	Trials           []Trial                   `json:"trials,omitempty"`
	Loads            []domainLoads             `json:"loads,omitempty"`
	LoansVersion     uint64                    `json:"knownlots,omitempty"`
}

// domainLoads are the loads of a failure domain whose slots the sender hands
// out.
type domainLoads struct {
	Domain corianderwing.DomainID `json:"domain"`
	Loads  []desk.PoolLoad        `json:"loads"`
}

// reportedEntry is an entry instance with the age of its last beat.
type reportedEntry struct {
	corianderwing.Instance
	Age corianderwing.Millis `json:"age,omitempty"`
}

// reportResponse answers a pulse once the leader has confirmed that it leads.
type reportResponse struct {
	MoveShares       []MoveShare              `json:"moves,omitempty"`
	Revision         corianderwing.Revision   `json:"revision"`
	InstancesVersion uint64                   `json:"version"` // of Entries and Controls
	Controls         []ControlInstance        `json:"controls,omitempty"`
	Shares           []quota.Share            `json:"shares,omitempty"`  // valid for quota.LeaseDuration after the pulse was sent
	Entries          []corianderwing.Instance `json:"entries,omitempty"` // all live ones, if the sender does not know them
	Loans            []steer.UpstreamLoan     `json:"lots,omitempty"`    // all of them, if the sender does not know them
	LoansVersion     uint64                   `json:"lotsversion,omitempty"`
}

// The calls between entry and control instances, and among the latter.
var (
	BorrowMethod    = peer.Method[BorrowRequest, BorrowResponse]{Name: "SiteBorrow"}
	AcquireMethod   = peer.Method[AcquireRequest, AcquireResponse]{Name: "SiteAcquire"}
	ReleaseMethod   = peer.Method[ReleaseRequest, emptyResponse]{Name: "SiteRelease"}
	HeartbeatMethod = peer.Method[HeartbeatRequest, HeartbeatResponse]{Name: "SiteBeat"}
	WatchMethod     = peer.Stream[watchRequest, model.Update]{Name: "SiteWatch"}
	reportMethod    = peer.Method[reportRequest, reportResponse]{Name: "SitePulse"}
)

// NewWatchRequest returns the request for the updates after a revision.
func NewWatchRequest(after corianderwing.Revision) *watchRequest { return &watchRequest{After: after} }
