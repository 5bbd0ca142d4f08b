package corianderwing

import "time"

// Class is the priority class of queued requests. Urgent requests are served first.
type Class string

// Request classes.
const (
	Urgent Class = "urgent"
	Normal Class = "normal"
	Bulk   Class = "bulk"
)

// Settings are the fields of one node of the tree. A nil field is inherited
// from the parent. Rate, Burst and Fixed apply to a workspace as a whole and are
// invalid below it; Prefix and Methods apply to a route only.
type Settings struct {
	Rate        *TokensPerSecond `json:"rate,omitempty"`    // requests per second across the fleet
	Burst       *Tokens          `json:"burst,omitempty"`   // requests across the fleet
	Fixed       *float64         `json:"fixed,omitempty"`   // fraction of rate and burst that is divided among seats, 0 to 1
	Public      *bool            `json:"open,omitempty"`    // does not require a key
	Pool        *PoolID          `json:"pool,omitempty"`    // default: the service's id
	Class       *Class           `json:"class,omitempty"`   // default: normal
	AtMostOnce  *bool            `json:"once,omitempty"`    // not idempotent: executed at most once
	Timeout     *Millis          `json:"timeout,omitempty"` // for the whole request
	Wait        *Millis          `json:"wait,omitempty"`    // maximum wait for a slot
	Slow        *Millis          `json:"slow,omitempty"`    // slower responses are recorded
	MaxAttempts *int             `json:"tries,omitempty"`   // maximum attempts, including the first
	Body        *Bytes           `json:"body,omitempty"`    // maximum size of a request body
	Prefix      *string          `json:"prefix,omitempty"`  // routes only: path prefix below the service
	Methods     []string         `json:"methods,omitempty"` // routes only: allowed methods; empty for all
	Seats       map[DomainID]int `json:"seats,omitempty"`   // root only: seats of each failure domain; empty: DefaultSeats in each
}

// DefaultSeats is the number of seats of each failure domain if the root sets
// none.
const DefaultSeats = 2

// Millis is a duration in milliseconds, as used in settings. Code converts it to a
// deadline when a request starts to use it.
type Millis int64

// After returns the time m after now.
func (m Millis) After(now time.Time) time.Time {
	return now.Add(time.Duration(m) * time.Millisecond)
}

// Path identifies a node of the settings tree: a workspace, a service of it, or a
// route of that. The zero Path is the root of a group's tree.
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

// EffectiveSettings are the settings of a node with inherited values and defaults
// applied.
type EffectiveSettings struct {
	Path        Path            `json:"path"`
	Rate        TokensPerSecond `json:"rate"`
	Burst       Tokens          `json:"burst"`
	Fixed       float64         `json:"fixed"`
	Public      bool            `json:"open"`
	Pool        PoolID          `json:"pool"`
	Class       Class           `json:"class"`
	AtMostOnce  bool            `json:"once"`
	Timeout     Millis          `json:"timeout"`
	Wait        Millis          `json:"wait"`
	Slow        Millis          `json:"slow"`
	MaxAttempts int             `json:"tries"`
	Body        Bytes           `json:"body"`
	Prefix      string          `json:"prefix"`
	Methods     []string        `json:"methods,omitempty"`
}

// Defaults are the values of fields that neither a node nor any of its ancestors
// sets.
var Defaults = EffectiveSettings{
	Rate:        100,
	Burst:       100,
	Fixed:       0.5,
	Class:       Normal,
	Timeout:     2000,
	Wait:        500,
	Slow:        500,
	MaxAttempts: 2,
	Body:        1 << 20,
	Prefix:      "/",
}
