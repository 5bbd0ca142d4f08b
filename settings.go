package corianderwing

import "time"

// Class orders requests that wait. Urgent requests go first.
type Class string

// The request classes.
const (
	Urgent Class = "urgent"
	Normal Class = "normal"
	Bulk   Class = "bulk"
)

// Settings are the fields of one node of the tree. A nil field is inherited
// from the parent. Rate, Burst and Fixed apply to a workspace as a whole and
// are refused below it; Prefix and Methods apply to a route only.
type Settings struct {
	Rate    *TokensPerSecond `json:"rate,omitempty"`    // requests per second, whole fleet
	Burst   *Tokens          `json:"burst,omitempty"`   // requests, whole fleet
	Fixed   *float64         `json:"fixed,omitempty"`   // part of rate and burst that is divided over seats, 0 to 1
	Open    *bool            `json:"open,omitempty"`    // needs no key
	Pool    *PoolID          `json:"pool,omitempty"`    // default: the service's id
	Class   *Class           `json:"class,omitempty"`   // default: normal
	Once    *bool            `json:"once,omitempty"`    // not idempotent: runs at most once
	Timeout *Millis          `json:"timeout,omitempty"` // whole request
	Wait    *Millis          `json:"wait,omitempty"`    // longest wait for a slot
	Slow    *Millis          `json:"slow,omitempty"`    // a slower answer leaves a record
	Tries   *int             `json:"tries,omitempty"`   // attempts, the first included
	Body    *Bytes           `json:"body,omitempty"`    // largest request body
	Prefix  *string          `json:"prefix,omitempty"`  // route: path prefix below the service
	Methods []string         `json:"methods,omitempty"` // route: allowed methods, empty for all
	Seats   map[DomainID]int `json:"seats,omitempty"`   // root: seats of each failure domain; empty: DefaultSeats in any
}

// DefaultSeats is the number of seats of each failure domain where the root
// sets none.
const DefaultSeats = 2

// Millis is a time span in settings, in milliseconds. It becomes a deadline
// as soon as a request uses it.
type Millis int64

// After returns the deadline that lies m after now.
func (m Millis) After(now time.Time) time.Time {
	return now.Add(time.Duration(m) * time.Millisecond)
}

// Path names a node of the tree: a workspace, a service below it, or a route
// below that. The zero Path is the root of a group's tree.
type Path struct {
	Workspace WorkspaceID `json:"workspace,omitempty"`
	Service   ServiceID   `json:"service,omitempty"`
	Route     RouteID     `json:"route,omitempty"`
}

// String returns the path as workspace/service/route, or "/" for the root.
func (p Path) String() string {
	s := string(p.Workspace)
	if p.Service != "" {
		s += "/" + string(p.Service)
	}
	if p.Route != "" {
		s += "/" + string(p.Route)
	}
	if s == "" {
		return "/"
	}
	return s
}

// EffectiveSettings are the settings of a route with everything inherited and every
// default filled in.
type EffectiveSettings struct {
	Path    Path            `json:"path"`
	Rate    TokensPerSecond `json:"rate"`
	Burst   Tokens          `json:"burst"`
	Fixed   float64         `json:"fixed"`
	Open    bool            `json:"open"`
	Pool    PoolID          `json:"pool"`
	Class   Class           `json:"class"`
	Once    bool            `json:"once"`
	Timeout Millis          `json:"timeout"`
	Wait    Millis          `json:"wait"`
	Slow    Millis          `json:"slow"`
	Tries   int             `json:"tries"`
	Body    Bytes           `json:"body"`
	Prefix  string          `json:"prefix"`
	Methods []string        `json:"methods,omitempty"`
}

// Defaults are the effective settings where neither a node nor any parent
// sets a field.
var Defaults = EffectiveSettings{
	Rate:    100,
	Burst:   100,
	Fixed:   0.5,
	Class:   Normal,
	Timeout: 2000,
	Wait:    500,
	Slow:    500,
	Tries:   2,
	Body:    1 << 20,
	Prefix:  "/",
}
