package stub

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// send runs one request through the handler and returns its answer.
func send(ctx context.Context, h http.Handler, method, path string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, method, path, nil)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// Guards against more running requests than slots, and against a refusal that
// does not say that the request did not run.
func TestSlotsAndShedding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(Config{Slots: 2, Queue: 1, Time: time.Second, Seed: 1})
		h := s.Handler()
		var wg sync.WaitGroup
		codes := make([]*httptest.ResponseRecorder, 5)
		start := time.Now()
		for i := range 3 {
			wg.Go(func() { codes[i] = send(t.Context(), h, "GET", "/x", "Cw-Request", string(rune('a'+i))) })
		}
		synctest.Wait() // two run and one waits, so the next are refused at once
		for i := 3; i < 5; i++ {
			codes[i] = send(t.Context(), h, "GET", "/x", "Cw-Request", string(rune('a'+i)))
		}
		wg.Wait()
		is.Equal(time.Since(start), 2*time.Second) // two run at once, a third after them
		shed := 0
		for i, w := range codes {
			is.Equal(w.Header().Get("Cw-Request"), string(rune('a'+i)))
			if w.Code == http.StatusServiceUnavailable {
				shed++
				is.Equal(w.Header().Get("Cw-Run"), "no")
			}
		}
		is.Equal(shed, 2)
		ran := s.Ran(10)
		is.Equal(ran.Peak, 4)
		is.Equal(ran.Done, uint64(3))
		is.Equal(ran.Shed, uint64(2))
		is.Equal(len(ran.Runs), 3)
	})
}

// Guards against work that goes on after its caller left or its deadline
// passed, and against a refused request that is logged as run.
func TestCancelAndDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(Config{Time: time.Second})
		h := s.Handler()
		start := time.Now()
		w := send(t.Context(), h, "POST", "/x", "Cw-Request", "a", "Cw-Left", "300", "Idempotency-Key", "k")
		is.Equal(time.Since(start), 300*time.Millisecond)
		is.Equal(w.Code, http.StatusGatewayTimeout)
		is.Equal(w.Header().Get("Cw-Request"), "a") // or the system takes it for a crossed answer
		is.Equal(w.Header().Get("Cw-Run"), "")
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		send(ctx, h, "GET", "/x", "Cw-Request", "b")
		is.Equal(time.Since(start), 400*time.Millisecond)
		is.Equal(send(t.Context(), h, "GET", "/x", "Cw-Request", "c", "Cw-Left", "0").Header().Get("Cw-Run"), "no")
		ran := s.Ran(10)
		is.Equal(ran.Cut, uint64(2))
		is.Equal(ran.Started, uint64(2))
		w = send(t.Context(), h, "GET", "/ran?order=k")
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &ran))
		is.Equal(len(ran.Runs), 1)
		is.Equal(ran.Runs[0].State, Cut)
	})
}

// Guards against a leaving upstream that cuts off work, and against late new
// work that goes unnoticed.
func TestLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(Config{Time: 6 * time.Second, Slots: 2})
		h := s.Handler()
		var wg sync.WaitGroup
		var first, second *httptest.ResponseRecorder
		start := time.Now()
		wg.Go(func() { first = send(t.Context(), h, "GET", "/x", "Cw-Request", "a") })
		synctest.Wait()
		is.Equal(send(t.Context(), h, "POST", "/leave").Code, http.StatusAccepted)
		synctest.Wait()
		is.Equal(s.announcement().Phase, corianderwing.Draining)
		time.Sleep(time.Second) // virtual
		wg.Go(func() { second = send(t.Context(), h, "GET", "/x", "Cw-Request", "b") })
		<-s.Left()
		is.True(time.Since(start) >= 7*time.Second)
		wg.Wait()
		is.Equal(first.Code, http.StatusOK)
		is.Equal(second.Code, http.StatusOK)
		is.Equal(s.Ran(0).Late, uint64(1))
		is.Equal(s.Ran(0).Latest, corianderwing.Millis(1000))
		is.Equal(send(t.Context(), h, "GET", "/x", "Cw-Request", "c").Header().Get("Cw-Run"), "no")
	})
}

// Guards against a key that reaches an upstream unnoticed.
func TestCountsKeys(t *testing.T) {
	is := is.New(t)
	s := New(Config{})
	h := s.Handler()
	send(t.Context(), h, "GET", "/x?page=2", "Cw-Request", "a", "Cookie", "theme=dark", "Idempotency-Key", "k")
	is.Equal(s.Ran(0).Keys, uint64(0))
	send(t.Context(), h, "GET", "/x?api_key=1", "Cw-Request", "a", "Cookie", "api_key=1", "Authorization", "Bearer 1", "X-Api-Key", "1")
	is.Equal(s.Ran(0).Keys, uint64(4))
}

// Guards against faults that do not show, show on other routes, or stay after
// they were cleared, and against control endpoints that callers can reach.
func TestFaults(t *testing.T) {
	is := is.New(t)
	s := New(Config{Seed: 3, Size: 400})
	srv := httptest.NewServer(s.Handler())
	defer srv.Close()
	get := func(path, id string) (*http.Response, string, error) {
		r, _ := http.NewRequestWithContext(t.Context(), "GET", srv.URL+path, nil)
		r.Header.Set("Cw-Request", id)
		resp, err := srv.Client().Do(r)
		is.NoErr(err)
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		return resp, string(body), err
	}
	s.SetFault(Fault{Prefix: "/bad", Fail: 1, Status: 502})
	resp, _, _ := get("/bad", "a")
	is.Equal(resp.StatusCode, 502)
	resp, body, err := get("/good", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.True(len(body) == 400 && strings.Contains(body, `"path":"/good"`))
	s.SetFault(Fault{Cross: 1})
	resp, _, _ = get("/good", "c")
	is.Equal(resp.Header.Get("Cw-Request"), "b")
	s.SetFault(Fault{Short: 1})
	_, _, err = get("/good", "d")
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	s.ClearFaults()
	s.SetFault(Fault{Route: "other", Fail: 1})
	_, _, err = get("/good", "e")
	is.NoErr(err)
	resp, _, _ = get("/ran", "f") // through the system this is ordinary work
	is.Equal(resp.Header.Get("Cw-Request"), "f")
	is.Equal(s.Ran(0).Done, uint64(6))
}

// Guards against a fault setting that is read wrongly or with unknown fields.
func TestSetFault(t *testing.T) {
	is := is.New(t)
	s := New(Config{Slots: 4})
	post := func(text string) int {
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), "POST", "/fault", strings.NewReader(text)))
		return w.Code
	}
	is.Equal(post(`{"typo":1}`), http.StatusBadRequest)
	is.Equal(post(`{"load":0.25,"health":"sick"}`), http.StatusOK)
	is.Equal(s.reported().Load, 0.25)
	is.Equal(send(t.Context(), s.Handler(), "GET", "/health").Code, http.StatusServiceUnavailable)
	is.Equal(send(t.Context(), s.Handler(), "DELETE", "/fault").Code, http.StatusNoContent)
	is.Equal(send(t.Context(), s.Handler(), "GET", "/health").Code, http.StatusOK)
}

// Guards against a cold start that never ends and load answers that do not lag.
func TestColdStartAndLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(Config{Time: time.Second, Cold: 10 * time.Second, Factor: 3, Lag: 5 * time.Second})
		is.Equal(s.serviceTime(1), 3*time.Second)
		is.Equal(s.reported().Busy, 0)
		s.slots <- struct{}{}
		is.Equal(s.reported().Busy, 0)
		time.Sleep(5 * time.Second) // virtual
		is.Equal(s.reported().Busy, 1)
		is.Equal(s.serviceTime(1), 2*time.Second)
		time.Sleep(5 * time.Second)
		is.Equal(s.serviceTime(1), time.Second)
	})
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against an upstream that stops announcing when one entry instance
// fails or answers with a status that is none, repeats a sequence number, or leaves
// without saying so.
func TestAnnounce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var got []corianderwing.Upstream
		client := &http.Client{Transport: roundTrip(func(r *http.Request) (*http.Response, error) {
			if r.URL.Host == "dead:1" {
				return nil, errors.New("refused")
			}
			if r.URL.Host == "mad:1" {
				return &http.Response{StatusCode: 0, Body: io.NopCloser(&bytes.Buffer{})}, nil
			}
			var u corianderwing.Upstream
			is.Equal(r.URL.Path, "/-/announce")
			is.NoErr(json.NewDecoder(r.Body).Decode(&u))
			got = append(got, u)
			return &http.Response{StatusCode: 204, Body: io.NopCloser(&bytes.Buffer{})}, nil
		})}
		s := New(Config{ID: "u", Entries: []string{"dead:1", "mad:1", "live:1"}, Client: client, Slots: 3})
		done := make(chan error)
		go func() { done <- s.Announce(t.Context()) }()
		time.Sleep(2500 * time.Millisecond) // virtual
		is.NoErr(s.Leave(t.Context()))
		is.NoErr(<-done)
		is.True(len(got) >= 7)
		for i, u := range got {
			is.Equal(u.Seq, uint64(i+1))
		}
		is.Equal(got[2].Phase, corianderwing.Ready)
		is.Equal(got[3].Phase, corianderwing.Draining)
		is.Equal(got[len(got)-1].Phase, corianderwing.Left)
	})
}
