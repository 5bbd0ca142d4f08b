package corianderwing

import (
	"context"
	"time"
)

// Version counts the changes of one item. Of two states of an item, the one
// with the higher version is in force.
type Version uint64

// Item kinds are the kinds of named items that make up the shared settings.
// Each item has its own version, so that independent changes never conflict.
type (
	// Rule sends the requests of a host below a path prefix to pools.
	Rule struct {
		Name    RouteID    `json:"name"`
		Version Version    `json:"version"`
		Host    string     `json:"host"`
		Prefix  string     `json:"prefix"` // begins and ends with a slash
		Once    bool       `json:"once,omitempty"`
		Timeout Millis     `json:"timeout"`
		Goal    Millis     `json:"goal,omitempty"` // a later answer is worth less to the caller
		Rank    int        `json:"rank"`           // 0 is the most urgent
		Tries   int        `json:"tries"`          // attempts, the first included
		Open    bool       `json:"open,omitempty"` // needs no key
		Sticky  bool       `json:"sticky,omitempty"`
		Homes   []RegionID `json:"homes,omitempty"` // regions that may run it; empty for all
		Targets []Target   `json:"targets"`
		Split   bool       `json:"split,omitempty"` // Targets came as a weighted list, even if of one
	}

	// Target is one of the pools of a Rule with its part of the requests.
	Target struct {
		Pool   PoolID  `json:"pool"`
		Weight float64 `json:"weight"`
	}

	// WorkspacePolicy is what a workspace may do: its keys, its rate and its regions.
	WorkspacePolicy struct {
		Name    WorkspaceID     `json:"name"`
		Version Version         `json:"version"`
		Keys    []string        `json:"keys,omitempty"` // as the operator sent them; never logged
		Rank    *int            `json:"rank,omitempty"` // goes before the rank of a Rule
		Rate    TokensPerSecond `json:"rate,omitempty"` // 0 for no limit
		Burst   Tokens          `json:"burst,omitempty"`
		Homes   []RegionID      `json:"homes,omitempty"`
	}

	// Pool describes the upstreams of one service.
	Pool struct {
		Name     PoolID          `json:"name"`
		Version  Version         `json:"version"`
		Health   string          `json:"health,omitempty"` // path of the health check
		Conns    Conns           `json:"conns,omitempty"`  // that one upstream accepts, 0 for no limit
		Protocol string          `json:"protocol,omitempty"`
		TLS      bool            `json:"tls,omitempty"`
		Cold     Millis          `json:"cold,omitempty"`     // for how long an upstream is slow after its start
		ColdRate TokensPerSecond `json:"coldrate,omitempty"` // that a cold upstream bears
	}

	// Limits bound what a caller may send. There is one for all.
	Limits struct {
		Version Version `json:"version"`
		Header  Bytes   `json:"header"`
		Body    Bytes   `json:"body"`
		Reading Millis  `json:"reading"` // longest time for a header
		Idle    Millis  `json:"idle"`    // longest idle time of a connection
	}
)

// ItemKind tells the kinds of items apart where only a name is given.
type ItemKind string

// The kinds of items that can be dropped.
const (
	RuleItem            ItemKind = "rule"
	WorkspacePolicyItem ItemKind = "tenure"
	PoolItem            ItemKind = "pool"
)

// Deletion removes an item. A later item with a version up to this one stays
// removed.
type Deletion struct {
	Kind    ItemKind `json:"kind"`
	Name    string   `json:"name"`
	Version Version  `json:"version"`
}

// Edit changes several items at once. All of it is valid, or none is applied.
type Edit struct {
	Rules             []Rule            `json:"rules,omitempty"`
	WorkspacePolicies []WorkspacePolicy `json:"tenures,omitempty"`
	Pools             []Pool            `json:"pools,omitempty"`
	Limits            *Limits           `json:"limits,omitempty"`
	Deletions         []Deletion        `json:"drops,omitempty"`
}

// Heartbeat is what an upstream says of itself.
type Heartbeat struct {
	Upstream
	Cold Millis // for how much longer it is slow after its start
}

// ControlPlane is the control role as the adapters of its callers see it. Every method
// may be called on any control instance; one that cannot reach the leader fails
// with NoLeader or NoQuorum.
type ControlPlane interface {
	// Heartbeat takes an upstream's heartbeat. It returns once what is new in it is
	// replicated, so that a drain that was confirmed is not lost.
	Heartbeat(ctx context.Context, h Heartbeat) error
	// RemoveUpstream removes an upstream.
	RemoveUpstream(ctx context.Context, id UpstreamID, i Incarnation) error
	// Edit changes items.
	Edit(ctx context.Context, e Edit) error
	// Items returns all items that are not dropped. It includes every edit that
	// was confirmed before the call.
	Items(ctx context.Context) (Edit, error)
	// Move starts a version move of a pool, to be done by a deadline.
	Move(ctx context.Context, p PoolID, to VersionID, by time.Time) error
	// LatestMove returns the latest move of a pool.
	LatestMove(ctx context.Context, p PoolID) (Move, error)
	// Evacuate ends new work on the upstreams of a failure domain, or allows it
	// again.
	Evacuate(ctx context.Context, d DomainID, on bool) error
	// LocateEntries returns the public addresses of the entry instances that a caller
	// near the given failure domain should use, and until when.
	LocateEntries(region RegionID, d DomainID) ([]string, time.Time, error)
}
