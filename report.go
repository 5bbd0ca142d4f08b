package corianderwing

import "net/http"

// UsageReport is the report of one usage window to an outside receiver.
type UsageReport struct {
	Window int64                  // number of the window: it begins Window times its length after the start of 1970
	Counts map[WorkspaceID]uint64 // requests that upstreams began to run
	Holder InstanceID             // the instance that sends
	Token  uint64                 // its fencing token
}

// UsageResult is what the receiver answered.
type UsageResult struct {
	Accepted   bool
	RetryAfter Millis // 0 if the receiver asked for no delay
}

// UsageDialect maps usage reports to the protocol of their receiver.
type UsageDialect interface {
	// NewUsageRequest returns the request that reports to the receiver at an address.
	NewUsageRequest(addr string, r UsageReport) (*http.Request, error)
	// ParseUsageResponse reads the answer.
	ParseUsageResponse(status int, h http.Header) UsageResult
}
