package corianderwing

import "time"

// CommandKind identifies the operation that a Command performs on the replicated
// state of a control group.
type CommandKind string

// Command kinds.
const (
	SetNode      CommandKind = "set"     // create or replace the settings of a node
	DeleteNode   CommandKind = "drop"    // delete a node and its subtree
	AddKey       CommandKind = "addkey"  // add a key to a workspace
	RevokeKey    CommandKind = "revoke"  // revoke a key
	SetDrain     CommandKind = "drain"   // stop routing new requests to an upstream
	EndDrain     CommandKind = "undrain" // resume routing new requests to an upstream
	StartMove    CommandKind = "move"    // start moving a pool to another version
	EndMove      CommandKind = "endmove" // record a move as done or rolled back
	AssignSeat   CommandKind = "seat"    // assign an entry instance a seat in its failure domain
	ReleaseSeat  CommandKind = "unseat"  // release a seat
	ClaimOrder   CommandKind = "claim"   // claim the idempotency key of an order
	ResolveOrder CommandKind = "settle"  // store the outcome of a claimed order
)

// Command is one entry of a group's replicated log. Only the fields of its Kind
// are set. The leader sets Now, so that applying the command is deterministic on
// every replica.
type Command struct {
	Request  RequestID   `json:"request"`
	Operator string      `json:"operator,omitempty"`
	Kind     CommandKind `json:"kind"`
	Base     Revision    `json:"base,omitempty"`
	Now      time.Time   `json:"now"`
	Path     Path        `json:"path,omitzero"`
	Settings *Settings   `json:"settings,omitempty"`
	Key      *Key        `json:"key,omitempty"`
	Drain    *Drain      `json:"drain,omitempty"`
	Move     *Move       `json:"move,omitempty"`
	Seat     *Seat       `json:"seat,omitempty"`
	Order    *Order      `json:"order,omitempty"`
}

// Result is the result of a Command. Commands are deduplicated by Request: the
// same Request always gets the same Result.
type Result struct {
	Revision  Revision `json:"revision"`        // after the change, or the current revision if nothing changed
	Error     *Error   `json:"error,omitempty"` // nil if the command was applied
	Order     *Order   `json:"order,omitempty"` // for ClaimOrder and ResolveOrder: the current state of the claim
	Seat      *Seat    `json:"seat,omitempty"`  // for AssignSeat
	Duplicate bool     `json:"again,omitempty"` // the request was applied earlier
}

// Key is the stored form of a caller's API key.
type Key struct {
	ID        KeyID       `json:"id"`
	Workspace WorkspaceID `json:"workspace"`
	Hash      KeyHash     `json:"hash"`
	Label     string      `json:"label,omitempty"`
	Revoked   bool        `json:"revoked,omitempty"`
}

// Drain stops new requests to one upstream.
type Drain struct {
	Upstream UpstreamID `json:"upstream"`
	Since    time.Time  `json:"since"`
}

// MoveOutcome is the state of a version move.
type MoveOutcome string

// Move outcomes.
const (
	Moving     MoveOutcome = "moving"
	Done       MoveOutcome = "done"
	RolledBack MoveOutcome = "back"
)

// Move shifts the traffic of a pool from one version to another, to be completed
// by the time By.
type Move struct {
	ID       RequestID   `json:"id"`
	Pool     PoolID      `json:"pool"`
	From     VersionID   `json:"from"`
	To       VersionID   `json:"to"`
	Start    time.Time   `json:"start"`
	By       time.Time   `json:"by"`
	Outcome  MoveOutcome `json:"outcome"`
	Evidence string      `json:"evidence,omitempty"`
}

// Seat is a numbered slot for one entry instance in a failure domain. The fixed
// fraction of each limit is divided among the seats.
type Seat struct {
	Domain   DomainID   `json:"domain"`
	Index    int        `json:"index"`
	Instance InstanceID `json:"instance"`
}

// OrderState is the state of a claimed order.
type OrderState string

// Order states.
const (
	OrderOpen OrderState = "open" // claimed; the outcome is not known yet
	OrderDone OrderState = "done" // executed; Response holds the first response
	OrderFree OrderState = "free" // not executed; may be claimed again
)

// Order is a claim on one idempotency key of one workspace.
type Order struct {
	Workspace   WorkspaceID     `json:"workspace"`
	Key         string          `json:"key"`
	Fingerprint uint64          `json:"print"` // hash of method, path and body of the first request
	Holder      RequestID       `json:"holder"`
	State       OrderState      `json:"state"`
	Since       time.Time       `json:"since"`
	Response    *StoredResponse `json:"answer,omitempty"`
}

// MaxStoredResponse is the maximum size of a stored response, header and body
// together.
const MaxStoredResponse Bytes = 64 << 10

// StoredResponse is the response that is replayed when an order is sent again.
type StoredResponse struct {
	Status    int                 `json:"status"`
	Header    map[string][]string `json:"header,omitempty"`
	Body      []byte              `json:"body,omitempty"`
	Truncated bool                `json:"cut,omitempty"` // header and body were not stored: larger than MaxStoredResponse, or no space left
}
