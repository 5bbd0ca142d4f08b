package corianderwing

import "context"

// Store keeps what one replica of a group must not lose. Every method returns
// only after its data is synced to disk.
type Store interface {
	// Load returns what the disk holds. It cuts a torn tail and fails with an
	// error on damage anywhere else.
	Load() (StoredState, error)
	// Append adds entries, replacing any with the same or a higher index.
	Append(entries []Entry) error
	// SaveVote replaces the stored vote.
	SaveVote(v Vote) error
	// SaveSnapshot replaces the log up to s.Index.
	SaveSnapshot(s Snapshot) error
	Close() error
}

// StateMachine is the state that a group replicates. Apply is called with every
// committed command, once and in order, and must be deterministic.
type StateMachine interface {
	Apply(i Index, data []byte) []byte
	Save() ([]byte, error)
	Restore(data []byte) error
}

// ControlClient is the way from an entry instance or an operator's API to the
// control groups.
type ControlClient interface {
	// Propose commits a command and returns its result. An error of kind
	// NoQuorum means that the command may still be committed: propose it
	// again with the same Request.
	Propose(ctx context.Context, g GroupID, c Command) (Result, error)
	// Renew renews the freshness lease and the shares of an entry instance.
	Renew(ctx context.Context, r RenewRequest) (RenewResponse, error)
	// Watch calls f with updates after the given revision, until ctx ends or
	// f fails. The first update is a snapshot if the deltas are gone.
	Watch(ctx context.Context, g GroupID, after Revision, f func(Update) error) error
}

// Update carries a group's settings to an entry instance: either a snapshot,
// or the accepted command that led to Revision.
type Update struct {
	Group    GroupID  `json:"group"`
	Revision Revision `json:"revision"`
	Snapshot []byte   `json:"snapshot,omitempty"`
	Command  *Command `json:"command,omitempty"`
}

// Recorder takes records of slow and refused answers. Record does not block.
type Recorder interface {
	Record(r Record)
}

// RecordFinder finds records across the fleet. Lost counts records that overflowed
// a buffer before they could be shipped.
type RecordFinder interface {
	Find(ctx context.Context, q Query) (found []Record, lost uint64, err error)
}

// Fleet is the membership as the request path sees it. Implementations answer
// from an immutable snapshot and take no lock.
type Fleet interface {
	// Self returns this instance.
	Self() Instance
	// Instances returns the live instances, this one included.
	Instances() []Instance
	// Upstreams returns the announced, unlapsed upstreams of a pool in a
	// failure domain.
	Upstreams(p PoolID, d DomainID) []Upstream
	// Domains returns the failure domains that have upstreams of a pool,
	// nearest first.
	Domains(p PoolID) []DomainID
	// Owner returns the instance that owns a pool in a failure domain.
	Owner(p PoolID, d DomainID) (Instance, bool)
	// Owns reports whether this instance may act now as owner of the pool in
	// its own failure domain.
	Owns(p PoolID) bool
	// Announce takes an upstream's announcement.
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
	// Key returns the key with the given hash, revoked ones included.
	Key(h KeyHash) (Key, bool)
	// Drained reports whether an operator drains the upstream.
	Drained(u UpstreamID) bool
	// Move returns the latest version move of a pool.
	Move(p PoolID) (Move, bool)
	// Workspaces returns the workspaces whose home is this group.
	Workspaces() []WorkspaceID
	// Seat returns the seat of an entry instance.
	Seat(i InstanceID) (Seat, bool)
}

// SettingsSource gives the request path the settings that it may act on.
type SettingsSource interface {
	// View returns the view that holds a workspace. Fresh tells whether keys
	// and settings are confirmed; if not, keyed routes must be refused. If no
	// view holds the workspace, ok is false, and fresh tells whether every
	// group is confirmed, so that the workspace cannot exist.
	View(w WorkspaceID) (v SettingsView, fresh bool, ok bool)
	// Views returns the current view of every group.
	Views() []SettingsView
	// OnChange registers f, which is called after any view or its freshness
	// changed. It must return quickly.
	OnChange(f func())
}

// RateLimiter holds this instance's share of every workspace's rate.
type RateLimiter interface {
	// Take takes one token. With none at hand it asks for more and waits, but
	// not past the deadline of ctx, before it fails with OverRate.
	Take(ctx context.Context, e *EffectiveSettings) error
}
