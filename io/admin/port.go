// Package admin is the operators' HTTP/JSON API and its client.
//
// Changes are idempotent by request id: a repeated id always gets the result
// of the first request, so a client that lost a response can retry on any
// control instance. Tree changes and the start of a move also carry the
// revision they are based on, and fail with a conflict if the tree has changed
// since.
package admin

import (
	"context"
	"net/http"
	"slices"

	"corianderwing"
	"corianderwing/core/state"
)

// Groups gives the API access to the control groups. Its methods are safe for
// concurrent use.
type Groups interface {
	// Groups returns every group of the fleet.
	Groups() []corianderwing.GroupID
	// Home returns the home group of a workspace, if it exists anywhere.
	Home(w corianderwing.WorkspaceID) (corianderwing.GroupID, bool)
	// View returns the latest known view of a group. It fails with NoLeader or
	// StaleSettings if there is none.
	View(g corianderwing.GroupID) (*state.View, error)
	// State returns the locally known leader and leases of a group.
	State(g corianderwing.GroupID) GroupState
	// Propose commits a command; the leader sets its Now field. After it fails
	// with NoLeader or NoQuorum, the command may still be committed.
	Propose(ctx context.Context, g corianderwing.GroupID, c corianderwing.Command) (corianderwing.Result, error)
	// Watch calls f with the updates after a revision, as ControlClient.Watch does.
	Watch(ctx context.Context, g corianderwing.GroupID, after corianderwing.Revision, f func(corianderwing.Update) error) error
}

// GroupState is the state of one group as a control instance sees it.
type GroupState struct {
	Group     corianderwing.GroupID    `json:"group"`
	Leader    corianderwing.InstanceID `json:"leader,omitempty"` // empty if unknown
	Term      corianderwing.Term       `json:"term"`
	Revision  corianderwing.Revision   `json:"revision"` // committed
	Confirmed corianderwing.Revision   `json:"force"`    // confirmed by every instance with an unexpired lease
	Leases    int                      `json:"leases"`   // unexpired
}

// API serves the operators' API. It is stateless.
type API struct {
	groups  Groups
	records corianderwing.RecordFinder
	secret  []byte
	mux     *http.ServeMux
}

// New returns the API of a fleet. Keys are derived and hashed with the
// fleet's secret.
func New(g Groups, records corianderwing.RecordFinder, secret []byte) *API {
	a := &API{groups: g, records: records, secret: slices.Clone(secret), mux: http.NewServeMux()}
	a.mux.HandleFunc("GET /v1/tree/{path...}", handle(a.getNode))
	a.mux.HandleFunc("PUT /v1/tree/{path...}", handle(a.setNode))
	a.mux.HandleFunc("DELETE /v1/tree/{path...}", handle(a.deleteNode))
	a.mux.HandleFunc("GET /v1/watch", a.watch)
	a.mux.HandleFunc("GET /v1/keys/{workspace}", handle(a.listKeys))
	a.mux.HandleFunc("POST /v1/keys/{workspace}", handle(a.addKey))
	a.mux.HandleFunc("DELETE /v1/keys/{workspace}/{id}", handle(a.revokeKey))
	a.mux.HandleFunc("GET /v1/drains", handle(a.listDrains))
	a.mux.HandleFunc("GET /v1/drains/{upstream}", handle(a.getDrain))
	a.mux.HandleFunc("PUT /v1/drains/{upstream}", handle(a.setDrain))
	a.mux.HandleFunc("DELETE /v1/drains/{upstream}", handle(a.endDrain))
	a.mux.HandleFunc("GET /v1/moves", handle(a.listMoves))
	a.mux.HandleFunc("POST /v1/moves", handle(a.startMove))
	a.mux.HandleFunc("GET /v1/records", handle(a.findRecords))
	a.mux.HandleFunc("GET /v1/status", handle(a.status))
	a.mux.HandleFunc("GET /v1/change/{revision}", handle(a.change))
	a.mux.HandleFunc("/", a.notFound)
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// notFound handles requests that match no route. If only the method is wrong,
// the response lists the allowed methods.
func (a *API) notFound(w http.ResponseWriter, r *http.Request) {
	for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodPost, http.MethodDelete} {
		other := r.Clone(r.Context())
		other.Method = method
		if _, pattern := a.mux.Handler(other); pattern != "/" && pattern != "" {
			w.Header().Add("Allow", method)
		}
	}
	if allowed := w.Header().Values("Allow"); len(allowed) > 0 {
		writeError(w, corianderwing.Errorf(corianderwing.MethodNotAllowed, "method is %s, allowed: %v", r.Method, allowed))
		return
	}
	writeError(w, corianderwing.Errorf(corianderwing.NoRoute, "the operators' API has no path %q", r.URL.Path))
}

// resolveGroup returns the group that handles a request: the one it names, else
// the home group of the workspace, else the only group of the fleet.
func (a *API) resolveGroup(named corianderwing.GroupID, w corianderwing.WorkspaceID) (corianderwing.GroupID, error) {
	all := a.groups.Groups()
	if named != "" && !slices.Contains(all, named) {
		return "", corianderwing.Errorf(corianderwing.InvalidInput, "group is %q, allowed: %v", named, all)
	}
	home, ok := a.groups.Home(w)
	switch {
	case ok && named != "" && named != home:
		return "", corianderwing.Errorf(corianderwing.InvalidInput, "group is %q, allowed: %s, the home of workspace %s", named, home, w)
	case ok:
		return home, nil
	case named != "":
		return named, nil
	case len(all) == 1:
		return all[0], nil
	}
	return "", corianderwing.Errorf(corianderwing.InvalidInput, "group is missing, allowed: %v", all)
}

// propose commits a change and returns its result.
func (a *API) propose(ctx context.Context, g corianderwing.GroupID, c corianderwing.Command) (Accepted, error) {
	r, err := a.groups.Propose(ctx, g, c)
	if err != nil {
		return Accepted{}, err
	}
	if r.Error != nil {
		return Accepted{}, r.Error
	}
	return Accepted{Group: g, Revision: r.Revision, Duplicate: r.Duplicate}, nil
}
