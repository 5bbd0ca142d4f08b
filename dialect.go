package corianderwing

import (
	"net/http"
	"time"
)

// CallerRequest holds the metadata of a caller's request.
type CallerRequest struct {
	ID       RequestID
	Key      string
	Object   string    // affinity key: requests for the same object are routed together
	Deadline time.Time // zero if the caller set no deadline
}

// UpstreamRequest holds the metadata of one attempt that is sent to an upstream.
type UpstreamRequest struct {
	Request   CallerRequest
	Upstream  UpstreamID
	Workspace WorkspaceID // empty if the request had no key
	Deadline  time.Time
}

// ResponseInfo holds the metadata in the header of an upstream's response.
type ResponseInfo struct {
	NotExecuted       bool // the upstream did not execute the request
	AddressReassigned bool // the address now belongs to another upstream
	Leaving           bool // the upstream announces that it is leaving
	LoadKnown         bool // Load is set
	LoadInvalid       bool // the upstream reported a load that cannot be read
	PushbackInvalid   bool // Pushback could not be read
	Load              UpstreamLoad
	Warmup            Millis // remaining warm-up time of the upstream
	Pushback          Millis // the upstream rejected the request and wants no others for this time
}

// Dialect maps between the HTTP headers and statuses of a deployment and the
// metadata of requests and responses.
type Dialect interface {
	// ParseRequest reads the metadata of a caller's request that arrived at now.
	ParseRequest(r *http.Request, now time.Time) CallerRequest
	// RequestIDHeader returns the canonical name of the header in which upstreams
	// return the ID of the request.
	RequestIDHeader() string
	// InternalHeader reports whether a header of a caller's request is addressed to
	// the system and not to the upstream.
	InternalHeader(name string) bool
	// AddRequestHeaders calls add for each header of an attempt that is sent at now.
	AddRequestHeaders(o UpstreamRequest, now time.Time, add func(name, value string))
	// ParseResponse reads the metadata of an upstream's response.
	ParseResponse(status int, h http.Header) ResponseInfo
	// WriteError writes an error response of the system and returns its status.
	// after is the delay after which the caller may retry; 0 means unspecified.
	WriteError(w http.ResponseWriter, id RequestID, e *Error, after time.Duration) (status int)
}
