package corianderwing

import "time"

// Record describes a slow or refused request for later diagnosis.
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
	Reason    string      `json:"reason,omitempty"` // the decision and why it was made
	Total     Millis      `json:"total"`
	Wait      Millis      `json:"wait"`
	Attempts  []Attempt   `json:"attempts,omitempty"`
}

// Attempt is one attempt to execute a request at an upstream.
type Attempt struct {
	Upstream  UpstreamID `json:"upstream"`
	Version   VersionID  `json:"version"`
	Owner     InstanceID `json:"owner"`
	Code      Code       `json:"code"`
	Wait      Millis     `json:"wait"`  // time until a slot was free
	FirstByte Millis     `json:"first"` // time to the first byte of the response
	Body      Millis     `json:"body"`  // time from the first byte to the last
}

// Query filters records. A zero field matches all records.
type Query struct {
	Workspace WorkspaceID `json:"workspace,omitempty"`
	Route     RouteID     `json:"route,omitempty"`
	Request   RequestID   `json:"request,omitempty"`
	Code      Code        `json:"code,omitempty"`
	From      time.Time   `json:"from,omitzero"`
	To        time.Time   `json:"to,omitzero"`
	Limit     int         `json:"most,omitempty"` // maximum number of records; default 100
}
