package corianderwing

import (
	"net/http"
	"time"
)

// CallerRequest is what a caller's request says to the system.
type CallerRequest struct {
	ID       RequestID
	Key      string
	Object   string    // what the request is about; requests for one object belong together
	Deadline time.Time // zero if the caller set none
}

// UpstreamRequest is what the system says to an upstream with a request.
type UpstreamRequest struct {
	Request   CallerRequest
	Upstream  UpstreamID
	Workspace WorkspaceID // empty if the request came without a key
	Deadline  time.Time
}

// ResponseInfo is what the header of an upstream's answer says besides its status.
type ResponseInfo struct {
	NotExecuted bool // the upstream did not run the request
	Moved       bool // another upstream has the address
	Load        bool // Running and Waiting are known
	Running     int  // requests in progress there, without the answered one
	Waiting     int
	Cold        Millis // for how much longer the upstream is slow
}

// Dialect is the way in which callers and upstreams of a deployment word
// requests and answers.
type Dialect interface {
	// ParseRequest reads a caller's request that arrived at now.
	ParseRequest(r *http.Request, now time.Time) CallerRequest
	// RequestIDHeader returns the canonical name of the header in which upstreams repeat
	// the request's id.
	RequestIDHeader() string
	// InternalHeader reports whether a caller's header is meant for the system alone.
	InternalHeader(name string) bool
	// AddRequestHeaders calls add with the headers of one attempt at now.
	AddRequestHeaders(o UpstreamRequest, now time.Time, add func(name, value string))
	// ParseResponse reads an upstream's answer.
	ParseResponse(status int, h http.Header) ResponseInfo
	// WriteError writes an answer of the system itself and returns its status. A
	// caller may come back after the given time; 0 says nothing about that.
	WriteError(w http.ResponseWriter, id RequestID, e *Error, after time.Duration) (status int)
}
