package soak

import (
	"context"
	"net/http"
	"time"

	"corianderwing"
)

// Query is a request that a caller sends.
type Query struct {
	Entry    string // name of the entry process
	ID       corianderwing.RequestID
	Host     string
	Path     string
	Key      string // empty for none
	Object   string
	Body     string // of an order; a request without one is a GET
	Deadline time.Time
}

// Arrival is a request as an upstream sees it.
type Arrival struct {
	ID        corianderwing.RequestID
	Expected  corianderwing.UpstreamID // that is to run it
	Workspace corianderwing.WorkspaceID
	Key       string // must never arrive
	Path      string
	Body      string
}

// Wire is the language in which callers, upstreams and operators of a
// deployment speak to the system. Its methods fail with an Error of kind
// InvalidInput or RevisionConflict if an order was refused for good.
type Wire interface {
	// Request returns the request of a query to an entry instance.
	Request(ctx context.Context, addr string, q Query) (*http.Request, error)
	// Arrival reads a request that an upstream got.
	Arrival(r *http.Request) (Arrival, error)
	// Answer sets the header of an upstream's answer that runs the request.
	Answer(h http.Header, a Arrival, running, slots int)
	// Decline answers that the upstream did not run the request: it has no
	// room, or it is not the expected one.
	Decline(w http.ResponseWriter, a Arrival, expected bool)
	// AnnounceLeaving adds to the header of an upstream's answer that the upstream
	// leaves. AnnouncesLeaving reports whether an answer says so.
	AnnounceLeaving(h http.Header)
	AnnouncesLeaving(h http.Header) bool
	// Report reads a usage report.
	Report(r *http.Request) (corianderwing.UsageReport, error)
	// PushBack adds to the header of Decline that the upstream wants no requests
	// for a time.
	PushBack(h http.Header, d time.Duration)

	Beat(ctx context.Context, addr string, h corianderwing.Heartbeat) error
	// Leave says that an upstream leaves. Its incarnation is not named if it is 0.
	Leave(ctx context.Context, addr string, id corianderwing.UpstreamID, i corianderwing.Incarnation) error
	Edit(ctx context.Context, addr string, e corianderwing.Edit) error
	Items(ctx context.Context, addr string) (corianderwing.Edit, error)
	Evacuate(ctx context.Context, addr string, d corianderwing.DomainID, on bool) error
	Locate(ctx context.Context, addr string, r corianderwing.RegionID, d corianderwing.DomainID) ([]string, error)
}
