package corianderwing

import (
	"context"
	"time"
)

// Version counts the changes of one item. When two states of an item conflict,
// the one with the higher version wins.
type Version uint64

// Items are the named parts of the shared settings. Each item has its own version,
// so that independent changes never conflict.
type (
	// Rule routes the requests for a host and path prefix to pools.
	Rule struct {
		Name          RouteID    `json:"name"`
		Version       Version    `json:"version"`
		Host          string     `json:"host"`
		Prefix        string     `json:"prefix"` // begins and ends with a slash
		AtMostOnce    bool       `json:"once,omitempty"`
		Timeout       Millis     `json:"timeout"`
		TargetLatency Millis     `json:"goal,omitempty"` // target latency; a later response is worth less to the caller
		Priority      int        `json:"rank"`           // priority; 0 is the highest
		MaxAttempts   int        `json:"tries"`          // maximum attempts, including the first
		Public        bool       `json:"open,omitempty"` // does not require a key
		Sticky        bool       `json:"sticky,omitempty"`
		HomeRegions   []RegionID `json:"homes,omitempty"` // regions that may execute it; empty for all
		Targets       []Target   `json:"targets"`
		WeightedList  bool       `json:"split,omitempty"` // Targets was given as a weighted list, even if it has one entry
	}

	// Target is a pool of a Rule with its weight.
	Target struct {
		Pool   PoolID  `json:"pool"`
		Weight float64 `json:"weight"`
	}

	// WorkspacePolicy holds the keys, rate limit, priority and regions of a workspace.
	WorkspacePolicy struct {
		Name        WorkspaceID     `json:"name"`
		Version     Version         `json:"version"`
		Keys        []string        `json:"keys,omitempty"` // in the clear, as sent by the operator; never logged
		Priority    *int            `json:"rank,omitempty"` // overrides the rank of a Rule
		Rate        TokensPerSecond `json:"rate,omitempty"` // 0 for no limit
		Burst       Tokens          `json:"burst,omitempty"`
		HomeRegions []RegionID      `json:"homes,omitempty"`
	}

	// Pool describes the upstreams of one service.
	Pool struct {
		Name       PoolID          `json:"name"`
		Version    Version         `json:"version"`
		HealthPath string          `json:"health,omitempty"` // path of the health check
		MaxConns   Conns           `json:"conns,omitempty"`  // maximum per upstream; 0 for no limit
		Protocol   string          `json:"protocol,omitempty"`
		TLS        bool            `json:"tls,omitempty"`
		Warmup     Millis          `json:"cold,omitempty"`     // warm-up time after an upstream starts
		WarmupRate TokensPerSecond `json:"coldrate,omitempty"` // maximum request rate of an upstream during warm-up
	}

	// Limits are the limits on callers' requests and connections. They apply to all
	// callers.
	Limits struct {
		Version       Version `json:"version"`
		Header        Bytes   `json:"header"`
		Body          Bytes   `json:"body"`
		HeaderTimeout Millis  `json:"reading"` // timeout for reading the header
		IdleTimeout   Millis  `json:"idle"`    // idle timeout of a connection
	}
)

// ItemKind identifies the kind of an item that is referenced by name.
type ItemKind string

// Item kinds that can be deleted.
const (
	RuleItem            ItemKind = "rule"
	WorkspacePolicyItem ItemKind = "tenure"
	PoolItem            ItemKind = "pool"
)

// Deletion deletes an item. It also acts as a tombstone: a state of the item that
// arrives later with the same or a lower version is ignored.
type Deletion struct {
	Kind    ItemKind `json:"kind"`
	Name    string   `json:"name"`
	Version Version  `json:"version"`
}

// Edit changes several items atomically: if any part is invalid, none is applied.
type Edit struct {
	Rules             []Rule            `json:"rules,omitempty"`
	WorkspacePolicies []WorkspacePolicy `json:"tenures,omitempty"`
	Pools             []Pool            `json:"pools,omitempty"`
	Limits            *Limits           `json:"limits,omitempty"`
	Deletions         []Deletion        `json:"drops,omitempty"`
}

// Heartbeat is a heartbeat of an upstream.
type Heartbeat struct {
	Upstream
	Cold Millis // remaining warm-up time
}

// ControlPlane is the interface of the control role. Every method may be called on
// any control instance; an instance that cannot reach the leader fails with
// NoLeader or NoQuorum.
type ControlPlane interface {
	// Heartbeat processes an upstream's heartbeat. It returns after any changed
	// state in it is replicated, so that a confirmed drain is not lost.
	Heartbeat(ctx context.Context, h Heartbeat) error
	// RemoveUpstream removes an upstream.
	RemoveUpstream(ctx context.Context, id UpstreamID, i Incarnation) error
	// Edit changes items.
	Edit(ctx context.Context, e Edit) error
	// Items returns all items that are not deleted. The result includes every edit
	// that was confirmed before the call.
	Items(ctx context.Context) (Edit, error)
	// Move starts a version move of a pool that must complete by a deadline.
	Move(ctx context.Context, p PoolID, to VersionID, by time.Time) error
	// LatestMove returns the latest move of a pool.
	LatestMove(ctx context.Context, p PoolID) (Move, error)
	// Evacuate stops new requests to the upstreams of a failure domain, or resumes
	// them.
	Evacuate(ctx context.Context, d DomainID, on bool) error
	// LocateEntries returns the public addresses of the entry instances that a
	// caller near the given failure domain should use, and when the list expires.
	LocateEntries(region RegionID, d DomainID) ([]string, time.Time, error)
}
