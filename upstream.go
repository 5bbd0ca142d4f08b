package corianderwing

import "net/netip"

// Phase is the lifecycle phase of an instance or upstream.
type Phase string

// Lifecycle phases.
const (
	Ready    Phase = "ready"
	Draining Phase = "drain" // accepts no new requests and finishes those in progress
	Left     Phase = "left"
)

// Upstream is the announcement of an upstream, which it sends once a second to an
// entry instance of its failure domain.
type Upstream struct {
	ID          UpstreamID  `json:"id"`
	Incarnation Incarnation `json:"incarnation"`
	Seq         uint64      `json:"seq"` // increases with each announcement of one incarnation
	Pool        PoolID      `json:"pool"`
	Version     VersionID   `json:"version"`
	Domain      DomainID    `json:"domain"`
	Addr        string      `json:"addr"` // host:port with a numeric IP address
	Slots       Slots       `json:"slots"`
	Conns       Conns       `json:"conns"`
	Phase       Phase       `json:"phase"`
	Load        float64     `json:"load"` // 0 to 1, self-reported; may be stale or wrong
}

// maxNameLen is the maximum length of a name in an announcement, in bytes.
const maxNameLen = 255

// Validate returns an error if the ID cannot be used. Each attempt carries the ID of
// its upstream in a header, where a line break would add lines of its own.
func (id UpstreamID) Validate() error {
	if id == "" || len(id) > maxNameLen {
		return Errorf(InvalidInput, "ID has %d bytes, allowed: 1 to %d", len(id), maxNameLen)
	}
	for i := 0; i < len(id); i++ {
		if id[i] <= ' ' || id[i] > '~' {
			return Errorf(InvalidInput, "ID %q holds a byte that is not printable ASCII", id)
		}
	}
	return nil
}

// maxSlots is the maximum number of slots of an upstream: an instance has no more
// ports for connections to one address. Sums over all upstreams stay exact.
const maxSlots Slots = 1<<16 - 1

// Validate returns an error if the announcement does not describe an upstream that
// can get requests.
func (u *Upstream) Validate() error {
	if err := u.ID.Validate(); err != nil {
		return err
	}
	for _, name := range []string{string(u.Pool), string(u.Version), string(u.Domain)} {
		if name == "" || len(name) > maxNameLen {
			return Errorf(InvalidInput, "pool, version or failure domain has %d bytes, allowed: 1 to %d", len(name), maxNameLen)
		}
	}
	if u.Slots <= 0 || u.Slots > maxSlots {
		return Errorf(InvalidInput, "slots is %d, allowed: 1 to %d", u.Slots, maxSlots)
	}
	return validateAddr(u.Addr)
}

// validateAddr returns an error if addr is not the address of another process.
// Connections to an unspecified address reach the instance itself.
func validateAddr(addr string) error {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return Errorf(InvalidInput, "address: %v", err)
	}
	ip := a.Addr().Unmap()
	if a.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip == broadcastAddr || ip.Zone() != "" {
		return Errorf(InvalidInput, "address %s cannot be connected to", addr)
	}
	return nil
}

var broadcastAddr = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// Instance is the gossiped state of an entry instance.
type Instance struct {
	ID           InstanceID  `json:"id"`
	Incarnation  Incarnation `json:"incarnation"`
	Seq          uint64      `json:"seq"` // heartbeat counter of one incarnation
	Domain       DomainID    `json:"domain"`
	Region       RegionID    `json:"region"`
	PublicAddr   string      `json:"public"` // host:port for callers
	InternalAddr string      `json:"inner"`  // host:port for requests forwarded between entry instances
	PeerAddr     string      `json:"peer"`   // host:port for gRPC
	Phase        Phase       `json:"phase"`
	Loads        []PoolLoad  `json:"loads,omitempty"`
}

// PoolLoad is the load that a pool owner reports for its pool in its failure
// domain.
type PoolLoad struct {
	Pool    PoolID `json:"pool"`
	Slots   Slots  `json:"slots"`   // total of the healthy upstreams
	Busy    Slots  `json:"busy"`    // requests in flight
	Waiting int    `json:"waiting"` // requests in the queue
}
