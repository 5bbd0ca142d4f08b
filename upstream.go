package corianderwing

// Phase tells whether an instance or upstream takes new work.
type Phase string

// The phases of an instance or upstream.
const (
	Ready    Phase = "ready"
	Draining Phase = "drain" // takes no new work, finishes what it has
	Left     Phase = "left"
)

// Upstream is a back end as it announces itself, once a second, to an entry
// instance of its failure domain.
type Upstream struct {
	ID          UpstreamID  `json:"id"`
	Incarnation Incarnation `json:"incarnation"`
	Seq         uint64      `json:"seq"` // grows with each announcement of one incarnation
	Pool        PoolID      `json:"pool"`
	Version     VersionID   `json:"version"`
	Domain      DomainID    `json:"domain"`
	Addr        string      `json:"addr"` // host:port by IP number
	Slots       Slots       `json:"slots"`
	Conns       Conns       `json:"conns"`
	Phase       Phase       `json:"phase"`
	Load        float64     `json:"load"` // as reported, 0 to 1; may lag or mislead
}

// Instance is an entry instance as its peers know it.
type Instance struct {
	ID          InstanceID  `json:"id"`
	Incarnation Incarnation `json:"incarnation"`
	Seq         uint64      `json:"seq"` // heartbeat counter of one incarnation
	Domain      DomainID    `json:"domain"`
	Region      RegionID    `json:"region"`
	Public      string      `json:"public"` // host:port for callers
	Inner       string      `json:"inner"`  // host:port for hand-over between entry instances
	Peer        string      `json:"peer"`   // host:port for gRPC
	Phase       Phase       `json:"phase"`
	Loads       []PoolLoad  `json:"loads,omitempty"`
}

// PoolLoad is what a pool owner reports about its pool in its failure domain.
type PoolLoad struct {
	Pool    PoolID `json:"pool"`
	Slots   Slots  `json:"slots"`   // of healthy upstreams
	Busy    Slots  `json:"busy"`    // requests in flight
	Waiting int    `json:"waiting"` // requests in the queue
}
