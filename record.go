package corianderwing

import "time"

// Record is the evidence that a slow or refused answer leaves.
type Record struct {
	Request   RequestID   `json:"request"`
	At        time.Time   `json:"at"` // arrival at the entry instance
	Instance  InstanceID  `json:"instance"`
	Workspace WorkspaceID `json:"workspace"`
	Service   ServiceID   `json:"service"`
	Route     RouteID     `json:"route"`
	Class     Class       `json:"class"`
	Key       KeyID       `json:"key,omitempty"`
	Code      Code        `json:"code"`
	Execution Execution   `json:"run"`
	Status    int         `json:"status"`
	Revision  Revision    `json:"revision"`
	Reason    string      `json:"reason,omitempty"` // what was decided and why
	Total     Millis      `json:"total"`
	Wait      Millis      `json:"wait"`
	Attempts  []Attempt   `json:"attempts,omitempty"`
}

// Attempt is one try of a request at an upstream.
type Attempt struct {
	Upstream UpstreamID `json:"upstream"`
	Version  VersionID  `json:"version"`
	Owner    InstanceID `json:"owner"`
	Code     Code       `json:"code"`
	Wait     Millis     `json:"wait"`  // for a slot
	First    Millis     `json:"first"` // to the first byte of the answer
	Body     Millis     `json:"body"`  // from the first byte to the last
}

// Query selects records. A zero field selects all.
type Query struct {
	Workspace WorkspaceID `json:"workspace,omitempty"`
	Route     RouteID     `json:"route,omitempty"`
	Request   RequestID   `json:"request,omitempty"`
	Code      Code        `json:"code,omitempty"`
	From      time.Time   `json:"from,omitzero"`
	To        time.Time   `json:"to,omitzero"`
	Limit     int         `json:"most,omitempty"` // default 100
}
