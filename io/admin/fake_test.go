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

// fakeGroups implements Groups with real state machines, no consensus and a fixed
// clock.
type fakeGroups struct {
	t          testing.TB
	mu         sync.Mutex
	index      corianderwing.Index
	machines   map[corianderwing.GroupID]*state.Machine
	proposeErr error          // returned by Propose
	maxUpdates int            // a watch ends after this many updates; 0 is unlimited
	repeatLast bool           // a watch starts with the update of the requested revision itself
	loseNext   *fakeTransport // if not nil, loses the response to the next Propose
}

func newFakeGroups(t testing.TB, groups ...corianderwing.GroupID) *fakeGroups {
	f := &fakeGroups{t: t, machines: map[corianderwing.GroupID]*state.Machine{}}
	for _, g := range groups {
		f.machines[g] = state.New(g, state.WithViolationHandler(func(invariant, detail string) {
			t.Errorf("invariant %q violated: %s", invariant, detail)
		}))
	}
	return f
}

func (f *fakeGroups) Groups() []corianderwing.GroupID {
	var all []corianderwing.GroupID
	for _, g := range []corianderwing.GroupID{"north", "south"} {
		if f.machines[g] != nil {
			all = append(all, g)
		}
	}
	return all
}

func (f *fakeGroups) Home(w corianderwing.WorkspaceID) (corianderwing.GroupID, bool) {
	for g, m := range f.machines {
		if m.View().HasWorkspace(w) {
			return g, true
		}
	}
	return "", false
}

func (f *fakeGroups) View(g corianderwing.GroupID) (*state.View, error) {
	return f.machines[g].View(), nil
}

func (f *fakeGroups) State(g corianderwing.GroupID) GroupState {
	r := f.machines[g].View().Revision()
	return GroupState{Group: g, Leader: "c1", Term: 3, Revision: r, Confirmed: r - min(r, 1), Leases: 2}
}

func (f *fakeGroups) Propose(_ context.Context, g corianderwing.GroupID, c corianderwing.Command) (corianderwing.Result, error) {
	if f.proposeErr != nil {
		return corianderwing.Result{}, f.proposeErr
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.index++
	if f.loseNext != nil {
		f.loseNext.dropResponses++
		f.loseNext = nil
	}
	c.Now = start
	data, err := state.EncodeCommand(c)
	if err != nil {
		return corianderwing.Result{}, err
	}
	return state.DecodeResult(f.machines[g].Apply(f.index, data))
}

func (f *fakeGroups) Watch(ctx context.Context, g corianderwing.GroupID, after corianderwing.Revision, give func(corianderwing.Update) error) error {
	m := f.machines[g]
	if f.repeatLast && after > 0 {
		after--
	}
	for n := 0; ; {
		changed := m.Changed()
		updates, ok := m.Updates(after)
		if !ok {
			return errors.New("the fake keeps every update")
		}
		for _, u := range updates {
			if n++; f.maxUpdates != 0 && n > f.maxUpdates {
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

func (f *fakeGroups) Find(_ context.Context, q corianderwing.Query) ([]corianderwing.Record, uint64, error) {
	r := corianderwing.Record{Request: "r1", At: start, Workspace: q.Workspace, Code: q.Code, Execution: corianderwing.NotExecuted}
	return []corianderwing.Record{r}, 2, nil
}

// fakeTransport is an http.RoundTripper that maps addresses to handlers and can
// drop a response after the handler has run. It is not safe for concurrent use.
type fakeTransport struct {
	handlers      map[string]http.Handler
	requested     []string // addresses, in order
	dropResponses int      // number of responses still to drop
	silent        string   // an address that accepts requests and never responds
}

func (n *fakeTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	n.requested = append(n.requested, r.URL.Host)
	handler := n.handlers[r.URL.Host]
	if r.URL.Host == n.silent {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	if handler == nil {
		return nil, errors.New("connection refused")
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	if n.dropResponses > 0 {
		n.dropResponses--
		return nil, io.ErrUnexpectedEOF
	}
	return w.Result(), nil
}

// streamTransport is an http.RoundTripper that streams the response of a handler.
// It works in memory, so that it can run in virtual time.
type streamTransport struct {
	handler     http.Handler
	requests    int
	silentConns int // number of initial connections that deliver nothing
}

func (p *streamTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	p.requests++
	out, in := io.Pipe()
	if p.requests > p.silentConns {
		go func() {
			p.handler.ServeHTTP(&streamWriter{PipeWriter: in, header: http.Header{}}, r)
			_ = in.Close()
		}()
	}
	context.AfterFunc(r.Context(), func() { _ = in.CloseWithError(r.Context().Err()) })
	return &http.Response{StatusCode: http.StatusOK, Body: out}, nil
}

// streamWriter is an http.ResponseWriter that supports Flush.
type streamWriter struct {
	*io.PipeWriter
	header http.Header
}

func (s *streamWriter) Header() http.Header { return s.header }
func (s *streamWriter) WriteHeader(int)     {}
func (s *streamWriter) Flush()              {}
