package corianderwing

import (
	"errors"
	"fmt"
	"net/http"
)

// Code is a numeric result code. Codes are stable: a number is never reused.
// docs/codes.md lists them.
type Code uint16

// Execution states whether an upstream executed a request, as far as is known.
type Execution string

// Values of the Cw-Run header.
const (
	NotExecuted      Execution = "no"      // no byte of the request reached an upstream, or the upstream reported that it did not execute it
	Executed         Execution = "yes"     // the response comes from the upstream
	ExecutionUnknown Execution = "unknown" // the request may have been executed
)

// Result codes. 1xx: success. 2xx: caller errors. 3xx: rate and capacity limits.
// 4xx: state of the system. 5xx: upstream and network failures. 6xx: operator
// errors.
const (
	OK               Code = 100
	ReplayedResponse Code = 101

	InvalidPath        Code = 200
	NoRoute            Code = 201
	MissingKey         Code = 202
	InvalidKey         Code = 203
	DuplicateKey       Code = 204
	HeaderTooLarge     Code = 205
	BodyTooLarge       Code = 206
	BodyTruncated      Code = 207
	MethodNotAllowed   Code = 208
	InvalidInput       Code = 209
	KeyRevoked         Code = 210
	CallerDisconnected Code = 211
	ClaimMismatch      Code = 212

	RateExceeded        Code = 300
	QueueFull           Code = 301
	DeadlineUnreachable Code = 302
	NoCapacity          Code = 303
	LinkFull            Code = 304
	NoShare             Code = 305
	MemoryShort         Code = 306

	StaleSettings  Code = 400
	Stopping       Code = 401
	NoUpstream     Code = 402
	ClaimUndecided Code = 403
	ClaimPending   Code = 404
	NotOwner       Code = 405
	Internal       Code = 406
	Quarantined    Code = 407

	ConnectFailed     Code = 500
	SendFailed        Code = 501
	FirstByteTimeout  Code = 502
	ResponseTruncated Code = 503
	ResponseMismatch  Code = 504
	Shed              Code = 505
	DeadlineExceeded  Code = 506

	RevisionConflict Code = 600
	NotFound         Code = 601
	NoLeader         Code = 602
	NoQuorum         Code = 603
	InvalidChange    Code = 604
)

type codeInfo struct {
	status int
	ran    Execution
	name   string
	text   string
}

var codes = map[Code]codeInfo{
	OK:               {http.StatusOK, Executed, "ok", "served by an upstream"},
	ReplayedResponse: {http.StatusOK, Executed, "first", "the stored first answer to an order that was sent again"},

	InvalidPath:        {http.StatusBadRequest, NotExecuted, "badpath", "the path is not clean or has no workspace and service"},
	NoRoute:            {http.StatusNotFound, NotExecuted, "noroute", "no such workspace, service or route"},
	MissingKey:         {http.StatusUnauthorized, NotExecuted, "nokey", "the route needs a key and none came"},
	InvalidKey:         {http.StatusForbidden, NotExecuted, "badkey", "the key is unknown, revoked, or of another workspace"},
	DuplicateKey:       {http.StatusBadRequest, NotExecuted, "keytwice", "a key came in two places"},
	HeaderTooLarge:     {http.StatusRequestHeaderFieldsTooLarge, NotExecuted, "bigheader", "the header is over its limit"},
	BodyTooLarge:       {http.StatusRequestEntityTooLarge, NotExecuted, "bigbody", "the body is over its limit"},
	BodyTruncated:      {http.StatusBadRequest, ExecutionUnknown, "cutbody", "the caller's body ended early"},
	MethodNotAllowed:   {http.StatusMethodNotAllowed, NotExecuted, "badmethod", "the route does not allow this method"},
	InvalidInput:       {http.StatusBadRequest, NotExecuted, "badinput", "a field is missing, unknown or out of range"},
	KeyRevoked:         {http.StatusForbidden, ExecutionUnknown, "revoked", "the key was revoked while the request ran"},
	CallerDisconnected: {499, ExecutionUnknown, "gone", "the caller went away"},
	ClaimMismatch:      {http.StatusUnprocessableEntity, NotExecuted, "differs", "the idempotency key was used for another request"},

	RateExceeded:        {http.StatusTooManyRequests, NotExecuted, "overrate", "the workspace is over its rate and burst"},
	QueueFull:           {http.StatusServiceUnavailable, NotExecuted, "queuefull", "the waiting queue of the pool is full"},
	DeadlineUnreachable: {http.StatusServiceUnavailable, NotExecuted, "toolate", "the request cannot meet its deadline"},
	NoCapacity:          {http.StatusServiceUnavailable, NotExecuted, "nocapacity", "no upstream has spare capacity"},
	LinkFull:            {http.StatusServiceUnavailable, NotExecuted, "linkfull", "the link to every upstream is at its cap"},
	NoShare:             {http.StatusServiceUnavailable, NotExecuted, "noshare", "no share of the workspace's rate could be had in time; the workspace may be inside its rate"},
	MemoryShort:         {http.StatusServiceUnavailable, NotExecuted, "nomemory", "this instance has no memory left for the request"},

	StaleSettings:  {http.StatusServiceUnavailable, NotExecuted, "notfresh", "this instance cannot confirm keys and settings"},
	Stopping:       {http.StatusServiceUnavailable, NotExecuted, "stopping", "this instance is stopping"},
	NoUpstream:     {http.StatusServiceUnavailable, NotExecuted, "noupstream", "no healthy upstream is announced"},
	ClaimUndecided: {http.StatusServiceUnavailable, ExecutionUnknown, "noclaim", "the claim on the order could not be decided; this request did not run, but an earlier one with the same key may have"},
	ClaimPending:   {http.StatusConflict, ExecutionUnknown, "claimopen", "the first try of this order has no known outcome"},
	NotOwner:       {http.StatusServiceUnavailable, NotExecuted, "notowner", "this instance does not own the pool"},
	Internal:       {http.StatusInternalServerError, ExecutionUnknown, "internal", "an error inside the system"},
	Quarantined:    {http.StatusServiceUnavailable, NotExecuted, "quarantined", "upstreams crash when they run this request"},

	ConnectFailed:     {http.StatusBadGateway, NotExecuted, "connfail", "no connection to the upstream could be opened"},
	SendFailed:        {http.StatusBadGateway, ExecutionUnknown, "sendfail", "the connection failed after bytes were sent"},
	FirstByteTimeout:  {http.StatusGatewayTimeout, ExecutionUnknown, "firstbyte", "no first byte came within the deadline"},
	ResponseTruncated: {http.StatusBadGateway, ExecutionUnknown, "shortbody", "the upstream's answer ended early"},
	ResponseMismatch:  {http.StatusBadGateway, ExecutionUnknown, "crossed", "the answer was not to this request"},
	Shed:              {http.StatusServiceUnavailable, NotExecuted, "shed", "the upstream refused the request unrun"},
	DeadlineExceeded:  {http.StatusGatewayTimeout, ExecutionUnknown, "deadline", "the deadline passed while the request ran"},

	RevisionConflict: {http.StatusConflict, NotExecuted, "conflict", "the settings changed since the base revision"},
	NotFound:         {http.StatusNotFound, NotExecuted, "unknown", "no such object"},
	NoLeader:         {http.StatusServiceUnavailable, NotExecuted, "noleader", "the group has no leader"},
	NoQuorum:         {http.StatusGatewayTimeout, ExecutionUnknown, "noquorum", "no majority answered in time"},
	InvalidChange:    {http.StatusBadRequest, NotExecuted, "badchange", "the change breaks a rule of the settings"},
}

// Codes returns all result codes in unspecified order.
func Codes() []Code {
	all := make([]Code, 0, len(codes))
	for c := range codes {
		all = append(all, c)
	}
	return all
}

// Status returns the HTTP status of a response with this code.
func (c Code) Status() int { return codes[c].status }

// Execution returns what the code alone implies about whether the request was
// executed.
func (c Code) Execution() Execution { return codes[c].ran }

// Text returns a one-line description of the code.
func (c Code) Text() string { return codes[c].text }

// Exit returns the process exit status for this code.
func (c Code) Exit() int {
	if c < 200 {
		return 0
	}
	return int(c / 100)
}

// String returns the code's one-word name.
func (c Code) String() string {
	if info, ok := codes[c]; ok {
		return info.name
	}
	return fmt.Sprintf("code%d", uint16(c))
}

// Error is an error with a result code. It is serialized between processes.
type Error struct {
	Code      Code       `json:"code"`
	Execution Execution  `json:"run"`
	Detail    string     `json:"detail,omitempty"`
	Revision  Revision   `json:"revision,omitempty"` // current revision, set with RevisionConflict
	Leader    InstanceID `json:"leader,omitempty"`   // instance to retry at, set with NoLeader
}

// Errorf returns an Error whose Execution is the one that the code implies.
func Errorf(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Execution: c.Execution(), Detail: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%d %s: %s", uint16(e.Code), e.Code, e.Code.Text())
	}
	return fmt.Sprintf("%d %s: %s", uint16(e.Code), e.Code, e.Detail)
}

// CodeOf returns the code of err: OK for nil, and Internal for an error that wraps
// no *Error.
func CodeOf(err error) Code {
	if err == nil {
		return OK
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Internal
}
