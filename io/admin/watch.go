package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"corianderwing"
)

// keepAliveInterval is the idle time after which a watch sends an empty line to
// show that the connection is alive.
const keepAliveInterval = 5 * time.Second

// Event is one committed change, encoded as one line of JSON. An event of kind
// "snapshot" stands for all changes up to Revision: they are no longer stored, or
// the client gave no start revision. The client then reads the current state.
type Event struct {
	Group    corianderwing.GroupID     `json:"group"`
	Revision corianderwing.Revision    `json:"revision"`
	Kind     corianderwing.CommandKind `json:"kind"`
	Request  corianderwing.RequestID   `json:"request,omitempty"`
	Operator string                    `json:"operator,omitempty"`
	At       time.Time                 `json:"at,omitzero"`
	Path     *corianderwing.Path       `json:"path,omitempty"`
	Settings *corianderwing.Settings   `json:"settings,omitempty"`
	Key      *KeyInfo                  `json:"key,omitempty"`
	Drain    *corianderwing.Drain      `json:"drain,omitempty"`
	Move     *corianderwing.Move       `json:"move,omitempty"`
	Seat     *corianderwing.Seat       `json:"seat,omitempty"`
}

// Snapshot is the kind of an event that stands for all changes up to its
// revision.
const Snapshot corianderwing.CommandKind = "snapshot"

func newEvent(u corianderwing.Update) Event {
	e := Event{Group: u.Group, Revision: u.Revision, Kind: Snapshot}
	c := u.Command
	if c == nil {
		return e
	}
	e.Kind, e.Request, e.Operator, e.At = c.Kind, c.Request, c.Operator, c.Now
	e.Settings, e.Drain, e.Move, e.Seat = c.Settings, c.Drain, c.Move, c.Seat
	if c.Kind == corianderwing.SetNode || c.Kind == corianderwing.DeleteNode {
		e.Path = &c.Path
	}
	if c.Key != nil {
		info := newKeyInfo(*c.Key)
		e.Key = &info
	}
	return e
}

// watchQuery requests the changes of one group after a revision. Without a
// revision, the first event is a snapshot at the current one, so that a client
// that loses the connection at once knows where to resume.
type watchQuery struct {
	group corianderwing.GroupID
	after *corianderwing.Revision
}

func (q *watchQuery) read(in *input) {
	q.group = corianderwing.GroupID(in.query("group"))
	if text := in.query("after"); text != "" {
		after := corianderwing.Revision(in.number("after", text))
		q.after = &after
	}
}

func (a *API) watch(w http.ResponseWriter, r *http.Request) {
	in := newInput(w, r)
	var q watchQuery
	q.read(in)
	if err := in.err(); err != nil {
		writeError(w, err)
		return
	}
	g, err := a.resolveGroup(q.group, "")
	if err != nil {
		writeError(w, err)
		return
	}
	v, err := a.groups.View(g)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	if q.after == nil {
		now := v.Revision()
		q.after = &now
		if json.NewEncoder(w).Encode(Event{Group: g, Revision: now, Kind: Snapshot}) != nil {
			return
		}
	}
	a.stream(w, r, g, *q.after)
}

// stream writes events until the client disconnects or the watch ends. The
// client then resumes after the last revision it received.
func (a *API) stream(w http.ResponseWriter, r *http.Request, g corianderwing.GroupID, after corianderwing.Revision) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	events := make(chan Event)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = a.groups.Watch(ctx, g, after, func(u corianderwing.Update) error {
			select {
			case events <- newEvent(u):
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
	}()
	out := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	tick := time.NewTicker(keepAliveInterval)
	defer tick.Stop()
	for {
		// The deadline ends the watch of a client that stops reading. Not every
		// ResponseWriter supports deadlines, so the error is ignored.
		_ = out.SetWriteDeadline(time.Now().Add(2 * keepAliveInterval))
		if out.Flush() != nil {
			break
		}
		var err error
		select {
		case e := <-events:
			err = encoder.Encode(e)
		case <-tick.C:
			_, err = w.Write([]byte("\n"))
		case <-done:
			return
		}
		if err != nil {
			break
		}
	}
	cancel()
	<-done
}
