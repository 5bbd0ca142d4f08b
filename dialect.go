package corianderwing

import (
	"net/http"
	"time"
)

// Ask is what a caller's request says to the system.
type Ask struct {
	ID       RequestID
	Key      string
	Object   string    // what the request is about; requests for one object belong together
	Deadline time.Time // zero if the caller set none
}

// Outgoing is what the system says to an upstream with a request.
type Outgoing struct {
	Ask       Ask
	Upstream  UpstreamID
	Workspace WorkspaceID // empty if the request came without a key
	Deadline  time.Time
}

// Verdict is what the header of an upstream's answer says besides its status.
type Verdict struct {
	NotRun  bool // the upstream did not run the request
	Moved   bool // another upstream has the address
	Load    bool // Running and Waiting are known
	Running int  // requests in progress there, without the answered one
	Waiting int
	Cold    Millis // for how much longer the upstream is slow
}

// Dialect is the way in which callers and upstreams of a deployment word
// requests and answers.
type Dialect interface {
	// Ask reads a caller's request that arrived at now.
	Ask(r *http.Request, now time.Time) Ask
	// Echo returns the canonical name of the header in which upstreams repeat
	// the request's id.
	Echo() string
	// Own reports whether a caller's header is meant for the system alone.
	Own(name string) bool
	// Outgoing calls add with the headers of one attempt at now.
	Outgoing(o Outgoing, now time.Time, add func(name, value string))
	// Verdict reads an upstream's answer.
	Verdict(status int, h http.Header) Verdict
	// Refuse writes an answer of the system itself and returns its status. A
	// caller may come back after the given time; 0 says nothing about that.
	Refuse(w http.ResponseWriter, id RequestID, e *Error, after time.Duration) (status int)
}
