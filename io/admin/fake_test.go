package admin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"corianderwing"
	"corianderwing/core/state"
)

var (
	start  = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)
	secret = []byte("fleet secret of the tests")
)

// fleet is a fake of Groups: real state machines without consensus, whose
// clock stands still.
type fleet struct {
	t        testing.TB
	mu       sync.Mutex
	index    corianderwing.Index
	machines map[corianderwing.GroupID]*state.Machine
	down     error    // of Propose
	cut      int      // a watch ends after so many updates, if not 0
	repeat   bool     // a watch begins with the update to the revision that is named
	lose     *network // loses the answer of the next Propose, if not nil
}

func newFleet(t testing.TB, groups ...corianderwing.GroupID) *fleet {
	f := &fleet{t: t, machines: map[corianderwing.GroupID]*state.Machine{}}
	for _, g := range groups {
		f.machines[g] = state.New(g, state.WithViolationHandler(func(invariant, detail string) {
			t.Errorf("invariant %q is broken: %s", invariant, detail)
		}))
	}
	return f
}

func (f *fleet) Groups() []corianderwing.GroupID {
	var all []corianderwing.GroupID
	for _, g := range []corianderwing.GroupID{"north", "south"} {
		if f.machines[g] != nil {
			all = append(all, g)
		}
	}
	return all
}

func (f *fleet) Home(w corianderwing.WorkspaceID) (corianderwing.GroupID, bool) {
	for g, m := range f.machines {
		if m.View().HasWorkspace(w) {
			return g, true
		}
	}
	return "", false
}

func (f *fleet) View(g corianderwing.GroupID) (*state.View, error) {
	return f.machines[g].View(), nil
}

func (f *fleet) State(g corianderwing.GroupID) GroupState {
	r := f.machines[g].View().Revision()
	return GroupState{Group: g, Leader: "c1", Term: 3, Revision: r, Confirmed: r - min(r, 1), Leases: 2}
}

func (f *fleet) Propose(_ context.Context, g corianderwing.GroupID, c corianderwing.Command) (corianderwing.Result, error) {
	if f.down != nil {
		return corianderwing.Result{}, f.down
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.index++
	if f.lose != nil {
		f.lose.lose++
		f.lose = nil
	}
	c.Now = start
	data, err := state.EncodeCommand(c)
	if err != nil {
		return corianderwing.Result{}, err
	}
	return state.DecodeResult(f.machines[g].Apply(f.index, data))
}

func (f *fleet) Watch(ctx context.Context, g corianderwing.GroupID, after corianderwing.Revision, give func(corianderwing.Update) error) error {
	m := f.machines[g]
	if f.repeat && after > 0 {
		after--
	}
	for n := 0; ; {
		changed := m.Changed()
		updates, ok := m.Updates(after)
		if !ok {
			return errors.New("the fake keeps every update")
		}
		for _, u := range updates {
			if n++; f.cut != 0 && n > f.cut {
				return nil
			}
			if err := give(u); err != nil {
				return err
			}
			after = u.Revision
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

func (f *fleet) Find(_ context.Context, q corianderwing.Query) ([]corianderwing.Record, uint64, error) {
	r := corianderwing.Record{Request: "r1", At: start, Workspace: q.Workspace, Code: q.Code, Execution: corianderwing.NotExecuted}
	return []corianderwing.Record{r}, 2, nil
}

// network is an http.RoundTripper that serves each address by a handler, and
// can lose an answer after the handler has run. It takes one request at a time.
type network struct {
	at     map[string]http.Handler
	asked  []string // addresses, in order
	lose   int      // how many answers are still to be lost
	silent string   // an address that takes requests and never answers
}

func (n *network) RoundTrip(r *http.Request) (*http.Response, error) {
	n.asked = append(n.asked, r.URL.Host)
	handler := n.at[r.URL.Host]
	if r.URL.Host == n.silent {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if handler == nil {
		return nil, errors.New("connection refused")
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	if n.lose > 0 {
		n.lose--
		return nil, io.ErrUnexpectedEOF
	}
	return w.Result(), nil
}

// pipe is an http.RoundTripper that streams the answer of a handler, in memory
// so that it works in virtual time.
type pipe struct {
	handler http.Handler
	asked   int
	mute    int // the first so many connections deliver nothing
}

func (p *pipe) RoundTrip(r *http.Request) (*http.Response, error) {
	p.asked++
	out, in := io.Pipe()
	if p.asked > p.mute {
		go func() {
			p.handler.ServeHTTP(&stream{PipeWriter: in, header: http.Header{}}, r)
			_ = in.Close()
		}()
	}
	context.AfterFunc(r.Context(), func() { _ = in.CloseWithError(r.Context().Err()) })
	return &http.Response{StatusCode: http.StatusOK, Body: out}, nil
}

// stream is an http.ResponseWriter that can be flushed.
type stream struct {
	*io.PipeWriter
	header http.Header
}

func (s *stream) Header() http.Header { return s.header }
func (s *stream) WriteHeader(int)     {}
func (s *stream) Flush()              {}
