package corianderwing

import "time"

// CommandKind is the kind of a command to a group's replicated state.
type CommandKind string

// The kinds of commands.
const (
	SetNode      CommandKind = "set"     // create or replace the settings of a node
	DeleteNode   CommandKind = "drop"    // remove a node and everything below it
	AddKey       CommandKind = "addkey"  // give a key to a workspace
	RevokeKey    CommandKind = "revoke"  // end a key
	SetDrain     CommandKind = "drain"   // stop new work on an upstream
	EndDrain     CommandKind = "undrain" // allow new work on an upstream again
	StartMove    CommandKind = "move"    // start a version move of a pool
	EndMove      CommandKind = "endmove" // record a move as done or rolled back
	AssignSeat   CommandKind = "seat"    // give an entry instance a seat in its failure domain
	ReleaseSeat  CommandKind = "unseat"  // free a seat
	ClaimOrder   CommandKind = "claim"   // claim the idempotency key of an order
	ResolveOrder CommandKind = "settle"  // store the outcome of a claimed order
)

// Command is one entry of a group's replicated log. Only the fields of its Kind
// are set. Now is stamped by the leader, so that every replica decides alike.
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

// Result answers a Command. The same Request always gets the same Result.
type Result struct {
	Revision  Revision `json:"revision"`        // revision after the change, or the current one
	Error     *Error   `json:"error,omitempty"` // nil if the command was applied
	Order     *Order   `json:"order,omitempty"` // with Claim and Settle: the claim as it stands
	Seat      *Seat    `json:"seat,omitempty"`  // with TakeSeat
	Duplicate bool     `json:"again,omitempty"` // the request had been applied before
}

// Key is a caller's key as the system stores it.
type Key struct {
	ID        KeyID       `json:"id"`
	Workspace WorkspaceID `json:"workspace"`
	Hash      KeyHash     `json:"hash"`
	Label     string      `json:"label,omitempty"`
	Revoked   bool        `json:"revoked,omitempty"`
}

// Drain stops new work on one upstream.
type Drain struct {
	Upstream UpstreamID `json:"upstream"`
	Since    time.Time  `json:"since"`
}

// MoveOutcome tells how far a version move is.
type MoveOutcome string

// The outcomes of a move.
const (
	Moving     MoveOutcome = "moving"
	Done       MoveOutcome = "done"
	RolledBack MoveOutcome = "back"
)

// Move shifts the traffic of a pool from one version to another by a set time.
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

// Seat is a numbered place for one entry instance in a failure domain. Fixed
// parts of bounds are divided over seats.
type Seat struct {
	Domain   DomainID   `json:"domain"`
	Index    int        `json:"index"`
	Instance InstanceID `json:"instance"`
}

// OrderState tells how far a claimed order is.
type OrderState string

// The states of a claimed order.
const (
	OrderOpen OrderState = "open" // claimed; the outcome is not known
	OrderDone OrderState = "done" // ran; Answer holds the first answer
	OrderFree OrderState = "free" // did not run; may be claimed again
)

// Order is the claim on one idempotency key of one workspace.
type Order struct {
	Workspace   WorkspaceID     `json:"workspace"`
	Key         string          `json:"key"`
	Fingerprint uint64          `json:"print"` // hash of method, path and body of the first request
	Holder      RequestID       `json:"holder"`
	State       OrderState      `json:"state"`
	Since       time.Time       `json:"since"`
	Response    *StoredResponse `json:"answer,omitempty"`
}

// MaxStoredResponse is the largest stored answer: header and body together.
const MaxStoredResponse Bytes = 64 << 10

// StoredResponse is a stored answer to an order.
type StoredResponse struct {
	Status    int                 `json:"status"`
	Header    map[string][]string `json:"header,omitempty"`
	Body      []byte              `json:"body,omitempty"`
	Truncated bool                `json:"cut,omitempty"` // header and body are not stored: over MaxAnswer, or no room
}
