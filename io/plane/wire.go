package plane

import (
	"corianderwing"
	"corianderwing/core/crash"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/core/quota"
	"corianderwing/core/shift"
	"corianderwing/core/steer"
	"corianderwing/core/usage"
	"corianderwing/io/alloc"
	"corianderwing/io/peer"
)

// HeartbeatRequest is the heartbeat that an entry instance sends to a control
// instance several times a second.
type HeartbeatRequest struct {
	Entry   corianderwing.Instance `json:"entry"`
	Demands []quota.Demand         `json:"needs,omitempty"`
	// InstancesVersion is the version of the instance lists that the sender
	// knows; 0 for none.
	InstancesVersion uint64 `json:"known,omitempty"`
	// LoansVersion is the version of the loans that the sender knows; 0 for none.
	LoansVersion uint64 `json:"loans,omitempty"`
	// Trials contains the samples that the instance collected for moves since
	// its last heartbeat.
	Trials []Trial `json:"trials,omitempty"`
	// Usage contains the counted requests that this control instance has not
	// acknowledged.
	Usage []usage.WindowCounts `json:"usage,omitempty"`
	// Wall is the time on the sender's wall clock in microseconds since 1970, without
	// its jumps; 0 if it counts no usage.
	Wall int64 `json:"wall,omitempty"`
}

// Trial contains the samples collected for one move.
type Trial struct {
	Pool    corianderwing.PoolID    `json:"pool"`
	Move    corianderwing.RequestID `json:"move"`
	Running int                     `json:"running,omitempty"` // requests in flight at the old version
	Samples []shift.Sample          `json:"samples,omitempty"`
}

// MoveShare is the fraction of requests that go to the new version of a move.
type MoveShare struct {
	Pool  corianderwing.PoolID    `json:"pool"`
	Move  corianderwing.RequestID `json:"move"`
	Share float64                 `json:"share"`
}

// HeartbeatResponse tells an entry instance how current the state of the
// control instance is.
type HeartbeatResponse struct {
	// Age is the time between the confirmation of Revision by the leader and
	// this response. The sender's own state has reached Revision.
	Age       corianderwing.Millis   `json:"age"`
	Revision  corianderwing.Revision `json:"revision"`
	Confirmed bool                   `json:"fresh,omitempty"` // Age and Revision are known
	// InstancesVersion is the version of Controls, Neighbors and Relays, which are
	// omitted if the sender has it. It is 0 until the leader has sent lists.
	InstancesVersion uint64 `json:"version,omitempty"`
	// Controls lists the control instances that report to the leader. Until the
	// leader has sent a list, it contains the group members and the seeds.
	Controls []ControlInstance `json:"controls,omitempty"`
	// Neighbors lists the other live entry instances in the same failure
	// domain.
	Neighbors []corianderwing.Instance `json:"neighbors,omitempty"`
	// Relays lists some live entry instances in other failure domains, which an
	// instance asks for the state while no control instance answers it.
	Relays []corianderwing.Instance `json:"relays,omitempty"`
	// Shares contains the shares of workspace rate limits. They are valid for
	// LeaseDuration after the heartbeat was sent.
	Shares        []quota.Share        `json:"shares,omitempty"`
	LeaseDuration corianderwing.Millis `json:"left,omitempty"`
	// Loans contains the slots in other failure domains that the sender's domain
	// borrows. They are omitted if the sender has LoansVersion, which is 0 while none
	// are valid. They are valid for LoansDuration after the heartbeat was sent.
	Loans         []BorrowedSlots      `json:"loans,omitempty"`
	LoansVersion  uint64               `json:"lversion,omitempty"`
	LoansDuration corianderwing.Millis `json:"lleft,omitempty"`
	// MoveShares contains the shares of the moves in progress.
	MoveShares []MoveShare `json:"moves,omitempty"`
	// UsageWindow is the length of a window in which entry instances count requests; 0
	// if they count none.
	UsageWindow corianderwing.Millis `json:"window,omitempty"`
	// Wall is the estimated wall-clock time in microseconds since 1970. Incarnation is
	// that of the control instance, which keeps usage only until it restarts. Both are
	// set with UsageWindow.
	Wall        int64                     `json:"wall,omitempty"`
	Incarnation corianderwing.Incarnation `json:"life,omitempty"`
}

// BorrowedSlots is a number of slots of an upstream in another failure domain.
type BorrowedSlots struct {
	Upstream corianderwing.UpstreamID `json:"upstream"`
	Slots    int                      `json:"slots"`
}

// TokenTime is the time at which a token was taken from a share, in ns on the boot
// clock of the instance that has the share.
type TokenTime int64

// BorrowRequest requests a token from the control instance's own share of a
// workspace's rate limit, for a waiting request, or returns one.
type BorrowRequest struct {
	Workspace corianderwing.WorkspaceID `json:"workspace"`
	Return    bool                      `json:"back,omitempty"`
	Taken     TokenTime                 `json:"taken,omitempty"` // of the response, with Return
}

// BorrowResponse answers a BorrowRequest. If no token is available, RetryAfter
// is the estimated time until there is one.
type BorrowResponse struct {
	OK         bool                 `json:"ok,omitempty"`
	Taken      TokenTime            `json:"taken,omitempty"` // when the token was taken
	RetryAfter corianderwing.Millis `json:"after,omitempty"`
}

// AcquireRequest requests an upstream slot for a request from a failure domain.
type AcquireRequest struct {
	Domain             corianderwing.DomainID     `json:"domain,omitempty"`
	ID                 place.ID                   `json:"id,omitempty"`   // of a request that is already waiting; only MaxWait is set besides
	MaxWait            corianderwing.Millis       `json:"wait,omitempty"` // maximum time for which the call may block
	Pool               corianderwing.PoolID       `json:"pool"`
	Object             uint64                     `json:"object,omitempty"`
	Class              corianderwing.RouteID      `json:"class"`
	Workspace          corianderwing.WorkspaceID  `json:"workspace,omitempty"`
	Rank               int                        `json:"rank,omitempty"`
	Retried            bool                       `json:"again,omitempty"`
	Goal               corianderwing.Millis       `json:"goal"` // time left until the target latency is exceeded
	Timeout            corianderwing.Millis       `json:"left"` // time left until the deadline
	HomeRegions        []corianderwing.RegionID   `json:"homes,omitempty"`
	ExcludedUpstreams  []corianderwing.UpstreamID `json:"tried,omitempty"`
	CurrentVersionOnly bool                       `json:"steady,omitempty"`
	NoForward          bool                       `json:"stay,omitempty"`   // do not forward it to the allocator of another domain
	RequireGoal        bool                       `json:"timely,omitempty"` // only if the goal can still be met
}

// AcquireResponse grants a slot, rejects the request, or reports that the
// request is still waiting and must call again with its ID.
type AcquireResponse struct {
	Waiting         bool                      `json:"waiting,omitempty"`
	Waited          corianderwing.Millis      `json:"waited,omitempty"` // time spent waiting in this call
	ID              place.ID                  `json:"id,omitempty"`
	Upstream        corianderwing.UpstreamID  `json:"upstream,omitempty"`
	Incarnation     corianderwing.Incarnation `json:"incarnation,omitempty"`
	ExpectedLatency corianderwing.Millis      `json:"work,omitempty"`    // until the first byte
	MissLatency     corianderwing.Millis      `json:"longest,omitempty"` // ExpectedLatency if the upstream has not cached the object
	ExpectHit       bool                      `json:"known,omitempty"`
	ColdStart       bool                      `json:"cold,omitempty"`
	NextVersion     bool                      `json:"next,omitempty"`
	ForwardTo       corianderwing.DomainID    `json:"elsewhere,omitempty"` // domain whose allocator to ask instead
	Reason          place.ForwardReason       `json:"reason,omitempty"`    // for ForwardTo
	RequireGoal     bool                      `json:"timely,omitempty"`    // use ForwardTo only if the goal can be met there
	Error           *corianderwing.Error      `json:"error,omitempty"`
	RetryAfter      corianderwing.Millis      `json:"after,omitempty"`
}

// ReleaseRequest releases slots.
type ReleaseRequest struct {
	Domain corianderwing.DomainID `json:"domain"`
	Slots  []ReleasedSlot         `json:"ended"`
}

// ReleasedSlot is a released slot and the result of its request.
type ReleasedSlot struct {
	Pool          corianderwing.PoolID `json:"pool"`
	ID            place.ID             `json:"id"`
	Result        place.Result         `json:"result,omitempty"`
	LatencyMicros int64                `json:"us,omitempty"`    // until the first byte
	DialMicros    int64                `json:"dial,omitempty"`  // time to open a connection, in µs
	Bytes         int                  `json:"bytes,omitempty"` // size of the request and its response
	Load          place.LoadReport     `json:"load,omitzero"`
	Leaving       bool                 `json:"leaving,omitempty"` // the upstream said that it is leaving
}

// SuspectRequest reports requests that crashed upstreams, or claims a probe.
type SuspectRequest struct {
	Events []crash.Event `json:"events"`
}

// SuspectResponse answers a SuspectRequest once its events are part of the state.
type SuspectResponse struct {
	Revision corianderwing.Revision `json:"revision"`
	Granted  bool                   `json:"granted,omitempty"` // the probe that the request claimed
}

type emptyResponse struct{}

// ControlInstance is the address and location of a control instance.
type ControlInstance struct {
	PeerAddr string                 `json:"peer"`
	Domain   corianderwing.DomainID `json:"domain,omitempty"`
	Region   corianderwing.RegionID `json:"region,omitempty"`
}

// watchRequest subscribes to the updates after a revision.
type watchRequest struct {
	After corianderwing.Revision `json:"after"`
	// Combined is set if the subscriber accepts updates of several commands, and
	// Packed if it accepts compressed snapshots.
	Combined bool `json:"combined,omitempty"`
	Packed   bool `json:"packed,omitempty"`
}

// reportRequest is the report that a control instance sends to the leader
// several times a second.
type reportRequest struct {
	Replica          corianderwing.InstanceID  `json:"replica"`
	Domain           corianderwing.DomainID    `json:"domain"`
	Region           corianderwing.RegionID    `json:"region"`
	Upstreams        []uint32                  `json:"seen,omitempty"` // numbers of the upstreams that sent heartbeats
	Entries          []reportedEntry           `json:"entries,omitempty"`
	InstancesVersion uint64                    `json:"known"` // version of the instance lists known to the sender
	Incarnation      corianderwing.Incarnation `json:"life"`
	Demands          []quota.Demand            `json:"needs,omitempty"`
	Trials           []Trial                   `json:"trials,omitempty"`
	Batch            uint64                    `json:"batch,omitempty"` // number of the samples in Trials; 0 from earlier versions
	Loads            []domainLoads             `json:"loads,omitempty"`
	LoansVersion     uint64                    `json:"knownlots,omitempty"`
	// Usage contains the counted requests that the leader has not acknowledged.
	Usage []usage.Report `json:"usage,omitempty"`
	// Revision is that of the sender's own state; nil from earlier versions.
	Revision *corianderwing.Revision `json:"state,omitempty"`
}

// domainLoads contains the loads of a failure domain whose slots the sender
// allocates.
type domainLoads struct {
	Domain corianderwing.DomainID `json:"domain"`
	Loads  []alloc.PoolLoad       `json:"loads"`
}

// reportedEntry is an entry instance and the age of its last heartbeat.
type reportedEntry struct {
	corianderwing.Instance
	SharesElsewhere bool                 `json:"elsewhere,omitempty"` // it has valid shares from other control instances
	Age             corianderwing.Millis `json:"age,omitempty"`
}

// reportResponse answers a report after the leader has confirmed its
// leadership.
type reportResponse struct {
	MoveShares       []MoveShare              `json:"moves,omitempty"`
	Revision         corianderwing.Revision   `json:"revision"`
	InstancesVersion uint64                   `json:"version"` // of Entries and Controls
	Controls         []ControlInstance        `json:"controls,omitempty"`
	Shares           []quota.Share            `json:"shares,omitempty"`  // valid for quota.LeaseDuration after the report was sent
	Entries          []corianderwing.Instance `json:"entries,omitempty"` // all live entry instances; omitted if the sender has this version
	Loans            []steer.UpstreamLoan     `json:"lots,omitempty"`    // all loans; omitted if the sender has this version
	LoansVersion     uint64                   `json:"lotsversion,omitempty"`
	// ColdLeases are the failure domains whose cold upstreams only the sender may use,
	// for lease.Duration after the report was sent.
	ColdLeases []corianderwing.DomainID `json:"coldleases,omitempty"`
	// Incarnation is that of the leader, which keeps usage only until it restarts; 0
	// if it keeps none.
	Incarnation corianderwing.Incarnation `json:"life,omitempty"`
}

// The RPCs between entry and control instances and among control instances.
var (
	BorrowMethod    = peer.Method[BorrowRequest, BorrowResponse]{Name: "SiteBorrow"}
	AcquireMethod   = peer.Method[AcquireRequest, AcquireResponse]{Name: "SiteAcquire"}
	ReleaseMethod   = peer.Method[ReleaseRequest, emptyResponse]{Name: "SiteRelease"}
	HeartbeatMethod = peer.Method[HeartbeatRequest, HeartbeatResponse]{Name: "SiteBeat"}
	SuspectMethod   = peer.Method[SuspectRequest, SuspectResponse]{Name: "SiteSuspect"}
	WatchMethod     = peer.Stream[watchRequest, model.Update]{Name: "SiteWatch"}
	reportMethod    = peer.Method[reportRequest, reportResponse]{Name: "SitePulse", Compressed: true}
)

// NewWatchRequest returns a request for the updates after a revision.
func NewWatchRequest(after corianderwing.Revision) *watchRequest {
	return &watchRequest{After: after, Combined: true, Packed: true}
}
