package place

import (
	"time"

	"corianderwing"
)

// Effect is a decision about a request. If Err is set, the request is rejected
// and may be retried after RetryAfter. If ForwardTo is set, the caller must
// ask the allocator of that failure domain. Otherwise the request has the
// Grant.
type Effect struct {
	ID          ID
	Grant       Grant
	ForwardTo   corianderwing.DomainID
	Reason      ForwardReason // for ForwardTo
	RequireGoal bool          // the other failure domain must reject it unless it can meet the goal
	Err         *corianderwing.Error
	RetryAfter  time.Duration
}

// ForwardReason tells why a request is forwarded to another failure domain.
type ForwardReason string

// The reasons.
const (
	ForwardHome     ForwardReason = "home"     // of its object, or one in a home region of the request
	ForwardRelief   ForwardReason = "relief"   // its goal cannot be met here
	ForwardFallback ForwardReason = "fallback" // no upstream here is usable
)

// Result tells how an attempt ended.
type Result uint8

// The results of an attempt.
const (
	Succeeded      Result = iota // complete response without a server error
	ServerError                  // complete response with a server error
	Overloaded                   // the upstream was full and did not run the request
	AddressReused                // another upstream listens at the address
	ConnectFailed                // the connection could not be opened
	ConnectionLost               // the connection failed after it was opened
	TimedOut                     // no response in time
	Canceled                     // the caller canceled; says nothing about the upstream
)

// Outcome is the result of an attempt. It ends a Grant.
type Outcome struct {
	ID       ID
	Result   Result
	Latency  time.Duration // time to the first byte of the response
	DialTime time.Duration // time to open a connection; 0 if one was reused
	Bytes    int           // size of request and response; 0 if unknown
	Load     LoadReport
	Leaving  bool // the upstream said that it is leaving
}
