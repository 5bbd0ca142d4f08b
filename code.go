package corianderwing

import (
	"errors"
	"fmt"
	"net/http"
)

// Code is a numbered result code. Codes are stable: a number is never reused.
// docs/codes.md lists them.
type Code uint16

// Ran tells what is known about whether a request reached an upstream.
type Ran string

// The values of the Cw-Run header.
const (
	RanNo      Ran = "no"      // no byte of the request reached an upstream, or the upstream said it did not run it
	RanYes     Ran = "yes"     // the answer is the upstream's own
	RanUnknown Ran = "unknown" // the request may have run
)

// Result codes. 1xx: served. 2xx: caller's fault. 3xx: bounds and room. 4xx:
// state of the system. 5xx: the upstream or the way to it. 6xx: operators.
const (
	OK         Code = 100
	FirstReply Code = 101

	BadPath      Code = 200
	NoRoute      Code = 201
	NoKey        Code = 202
	BadKey       Code = 203
	KeyTwice     Code = 204
	BigHeader    Code = 205
	BigBody      Code = 206
	CutBody      Code = 207
	BadMethod    Code = 208
	BadInput     Code = 209
	KeyRevoked   Code = 210
	CallerGone   Code = 211
	ClaimDiffers Code = 212

	OverRate   Code = 300
	QueueFull  Code = 301
	TooLate    Code = 302
	NoCapacity Code = 303
	LinkFull   Code = 304
	NoShare    Code = 305

	NotFresh   Code = 400
	Stopping   Code = 401
	NoUpstream Code = 402
	NoClaim    Code = 403
	ClaimOpen  Code = 404
	NotOwner   Code = 405
	Internal   Code = 406

	ConnFail  Code = 500
	SendFail  Code = 501
	FirstByte Code = 502
	ShortBody Code = 503
	Crossed   Code = 504
	Shed      Code = 505
	Deadline  Code = 506

	Conflict  Code = 600
	Unknown   Code = 601
	NoLeader  Code = 602
	NoQuorum  Code = 603
	BadChange Code = 604
)

type codeInfo struct {
	status int
	ran    Ran
	name   string
	text   string
}

var codes = map[Code]codeInfo{
	OK:         {http.StatusOK, RanYes, "ok", "served by an upstream"},
	FirstReply: {http.StatusOK, RanYes, "first", "the stored first answer to an order that was sent again"},

	BadPath:      {http.StatusBadRequest, RanNo, "badpath", "the path is not clean or has no workspace and service"},
	NoRoute:      {http.StatusNotFound, RanNo, "noroute", "no such workspace, service or route"},
	NoKey:        {http.StatusUnauthorized, RanNo, "nokey", "the route needs a key and none came"},
	BadKey:       {http.StatusForbidden, RanNo, "badkey", "the key is unknown, revoked, or of another workspace"},
	KeyTwice:     {http.StatusBadRequest, RanNo, "keytwice", "a key came in two places"},
	BigHeader:    {http.StatusRequestHeaderFieldsTooLarge, RanNo, "bigheader", "the header is over its limit"},
	BigBody:      {http.StatusRequestEntityTooLarge, RanNo, "bigbody", "the body is over its limit"},
	CutBody:      {http.StatusBadRequest, RanUnknown, "cutbody", "the caller's body ended early"},
	BadMethod:    {http.StatusMethodNotAllowed, RanNo, "badmethod", "the route does not allow this method"},
	BadInput:     {http.StatusBadRequest, RanNo, "badinput", "a field is missing, unknown or out of range"},
	KeyRevoked:   {http.StatusForbidden, RanUnknown, "revoked", "the key was revoked while the request ran"},
	CallerGone:   {499, RanUnknown, "gone", "the caller went away"},
	ClaimDiffers: {http.StatusUnprocessableEntity, RanNo, "differs", "the idempotency key was used for another request"},

	OverRate:   {http.StatusTooManyRequests, RanNo, "overrate", "the workspace is over its rate and burst"},
	QueueFull:  {http.StatusServiceUnavailable, RanNo, "queuefull", "the waiting queue of the pool is full"},
	TooLate:    {http.StatusServiceUnavailable, RanNo, "toolate", "the request cannot meet its deadline"},
	NoCapacity: {http.StatusServiceUnavailable, RanNo, "nocapacity", "no upstream has spare capacity"},
	LinkFull:   {http.StatusServiceUnavailable, RanNo, "linkfull", "the link to every upstream is at its cap"},
	NoShare:    {http.StatusServiceUnavailable, RanNo, "noshare", "no share of the workspace's rate could be had in time; the workspace may be inside its rate"},

	NotFresh:   {http.StatusServiceUnavailable, RanNo, "notfresh", "this instance cannot confirm keys and settings"},
	Stopping:   {http.StatusServiceUnavailable, RanNo, "stopping", "this instance is stopping"},
	NoUpstream: {http.StatusServiceUnavailable, RanNo, "noupstream", "no healthy upstream is announced"},
	NoClaim:    {http.StatusServiceUnavailable, RanUnknown, "noclaim", "the claim on the order could not be decided; this request did not run, but an earlier one with the same key may have"},
	ClaimOpen:  {http.StatusConflict, RanUnknown, "claimopen", "the first try of this order has no known outcome"},
	NotOwner:   {http.StatusServiceUnavailable, RanNo, "notowner", "this instance does not own the pool"},
	Internal:   {http.StatusInternalServerError, RanUnknown, "internal", "an error inside the system"},

	ConnFail:  {http.StatusBadGateway, RanNo, "connfail", "no connection to the upstream could be opened"},
	SendFail:  {http.StatusBadGateway, RanUnknown, "sendfail", "the connection failed after bytes were sent"},
	FirstByte: {http.StatusGatewayTimeout, RanUnknown, "firstbyte", "no first byte came within the deadline"},
	ShortBody: {http.StatusBadGateway, RanUnknown, "shortbody", "the upstream's answer ended early"},
	Crossed:   {http.StatusBadGateway, RanUnknown, "crossed", "the answer was not to this request"},
	Shed:      {http.StatusServiceUnavailable, RanNo, "shed", "the upstream refused the request unrun"},
	Deadline:  {http.StatusGatewayTimeout, RanUnknown, "deadline", "the deadline passed while the request ran"},

	Conflict:  {http.StatusConflict, RanNo, "conflict", "the settings changed since the base revision"},
	Unknown:   {http.StatusNotFound, RanNo, "unknown", "no such object"},
	NoLeader:  {http.StatusServiceUnavailable, RanNo, "noleader", "the group has no leader"},
	NoQuorum:  {http.StatusGatewayTimeout, RanUnknown, "noquorum", "no majority answered in time"},
	BadChange: {http.StatusBadRequest, RanNo, "badchange", "the change breaks a rule of the settings"},
}

// Codes returns every result code, in no order.
func Codes() []Code {
	all := make([]Code, 0, len(codes))
	for c := range codes {
		all = append(all, c)
	}
	return all
}

// Status returns the HTTP status that a refusal with this code has.
func (c Code) Status() int { return codes[c].status }

// Ran returns what the code alone says about whether the request ran.
func (c Code) Ran() Ran { return codes[c].ran }

// Text returns one line that explains the code.
func (c Code) Text() string { return codes[c].text }

// Exit returns the exit status of a command that failed with this code.
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

// Error is a refusal or failure with its code. It crosses process boundaries.
type Error struct {
	Code   Code       `json:"code"`
	Run    Ran        `json:"run"`
	Detail string     `json:"detail,omitempty"`
	At     Revision   `json:"revision,omitempty"` // current revision, with Conflict
	Leader InstanceID `json:"leader,omitempty"`   // whom to ask instead, with NoLeader
}

// Errorf returns an Error whose Run field is what the code alone says.
func Errorf(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Run: c.Ran(), Detail: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%d %s: %s", uint16(e.Code), e.Code, e.Code.Text())
	}
	return fmt.Sprintf("%d %s: %s", uint16(e.Code), e.Code, e.Detail)
}

// CodeOf returns the code of err: OK for nil, Internal for a foreign error.
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
