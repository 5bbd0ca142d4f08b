package corianderwing

import "context"

// Store is the durable storage of one replica of a group. Methods that write
// return only after the data is synced to disk.
type Store interface {
	// Load returns the stored state. It truncates an incomplete entry at the end of
	// the log and fails on corruption anywhere else.
	Load() (StoredState, error)
	// Append appends entries and deletes stored ones with the same or a higher index.
	Append(entries []Entry) error
	// SaveVote replaces the stored vote.
	SaveVote(v Vote) error
	// SaveSnapshot replaces the log up to s.Index.
	SaveSnapshot(s Snapshot) error
	Close() error
}

// StateMachine is the replicated state machine of a group. Apply is called exactly
// once for every committed command, in log order, and must be deterministic.
type StateMachine interface {
	Apply(i Index, data []byte) []byte
	Save() ([]byte, error)
	Restore(data []byte) error
}

// ControlClient is the client of the control groups that entry instances and the
// operator API use.
type ControlClient interface {
	// Propose commits a command and returns its result. After a NoQuorum error the
	// command may still be committed: retry it with the same Request.
	Propose(ctx context.Context, g GroupID, c Command) (Result, error)
	// Renew renews the freshness lease and the token grants of an entry instance.
	Renew(ctx context.Context, r RenewRequest) (RenewResponse, error)
	// Watch calls f for each update after the given revision until ctx is done or
	// f fails. The first update is a snapshot if the updates after that revision
	// are no longer kept.
	Watch(ctx context.Context, g GroupID, after Revision, f func(Update) error) error
}

// Update is a settings update of a group for an entry instance: either a snapshot,
// or the accepted command that produced Revision.
type Update struct {
	Group    GroupID  `json:"group"`
	Revision Revision `json:"revision"`
	Snapshot []byte   `json:"snapshot,omitempty"`
	Command  *Command `json:"command,omitempty"`
}

// Recorder stores records of slow and refused requests. Record does not block.
type Recorder interface {
	Record(r Record)
}

// RecordFinder searches records across the fleet. Lost counts records that were
// dropped because a buffer was full before they could be shipped.
type RecordFinder interface {
	Find(ctx context.Context, q Query) (found []Record, lost uint64, err error)
}

// Fleet is the view of the fleet's membership on the request path. Implementations
// read an immutable snapshot and take no lock.
type Fleet interface {
	// Self returns this instance.
	Self() Instance
	// Instances returns the live instances, this one included.
	Instances() []Instance
	// Upstreams returns the upstreams of a pool in a failure domain whose
	// announcements have not expired.
	Upstreams(p PoolID, d DomainID) []Upstream
	// Domains returns the failure domains that have upstreams of a pool,
	// nearest first.
	Domains(p PoolID) []DomainID
	// Owner returns the instance that owns a pool in a failure domain.
	Owner(p PoolID, d DomainID) (Instance, bool)
	// Owns reports whether this instance may act now as owner of the pool in
	// its own failure domain.
	Owns(p PoolID) bool
	// Announce processes an announcement of an upstream.
	Announce(u Upstream) error
	// Report replaces the load that this instance reports for its pools.
	Report(loads []PoolLoad)
}

// SettingsView is an immutable snapshot of one group's settings and keys.
type SettingsView interface {
	Revision() Revision
	// Route returns the effective settings for a request, chosen by the
	// longest route prefix of path below the service.
	Route(w WorkspaceID, s ServiceID, path string) (*EffectiveSettings, bool)
	// Key returns the key with the given hash, even if it is revoked.
	Key(h KeyHash) (Key, bool)
	// Drained reports whether an operator has drained the upstream.
	Drained(u UpstreamID) bool
	// Move returns the latest version move of a pool.
	Move(p PoolID) (Move, bool)
	// Workspaces returns the workspaces whose home is this group.
	Workspaces() []WorkspaceID
	// Seat returns the seat of an entry instance.
	Seat(i InstanceID) (Seat, bool)
}

// SettingsSource provides the settings to the request path.
type SettingsSource interface {
	// View returns the view that contains a workspace. fresh reports whether its
	// keys and settings are confirmed to be current; if not, requests to routes
	// that require a key must be rejected. If no view contains the workspace, ok is
	// false, and fresh reports whether the views of all groups are current, which
	// proves that the workspace does not exist.
	View(w WorkspaceID) (v SettingsView, fresh bool, ok bool)
	// Views returns the current view of every group.
	Views() []SettingsView
	// OnChange registers f, which is called after any view or its freshness
	// changes. f must return quickly.
	OnChange(f func())
}

// RateLimiter manages this instance's share of every workspace's rate limit.
type RateLimiter interface {
	// Take takes one token. If none is available, it requests more and waits no
	// longer than the deadline of ctx before it fails with RateExceeded.
	Take(ctx context.Context, e *EffectiveSettings) error
}
