package gate

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/place"
	"corianderwing/io/follow"
	"corianderwing/io/plane"
	"corianderwing/io/soak"
	"corianderwing/platform"
)

// reply is a response of a fakeUpstream.
type reply struct {
	status     int // 0 for 200
	header     string
	delay      time.Duration // before the header
	bodyDelay  time.Duration // between header and body
	noResponse bool          // closes the connection instead
	truncated  bool          // closes the connection in place of the body
	trailer    string        // header line that follows the body
	retryAfter time.Duration // in a Retry-After header; 0 for none
}

// arrival is a request that reached a fakeUpstream.
type arrival struct {
	id string
	at time.Time
}

// fakeUpstream is an upstream that responds as its script says, over in-memory
// connections.
type fakeUpstream struct {
	script  func(n int) reply // n counts the requests from 0
	replied func(r reply)     // called when a header has been sent; may be nil

	mu        sync.Mutex
	arrivals  []arrival
	dialDelay time.Duration // until a connection is open
}

func (u *fakeUpstream) setDialDelay(d time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dialDelay = d
}

func (u *fakeUpstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.arrivals)
}

func (u *fakeUpstream) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Request-Id")
		u.mu.Lock()
		n := len(u.arrivals)
		u.arrivals = append(u.arrivals, arrival{id, time.Now()})
		u.mu.Unlock()
		rep := u.script(n)
		if rep.noResponse {
			return
		}
		if !u.respond(c, id, rep) {
			return
		}
	}
}

// respond sends a response and reports whether the connection stays open.
func (u *fakeUpstream) respond(c net.Conn, id string, rep reply) bool {
	time.Sleep(rep.delay)
	if rep.status == 0 {
		rep.status = http.StatusOK
	}
	if rep.retryAfter > 0 {
		rep.header += fmt.Sprintf("Retry-After: %.3f\r\n", rep.retryAfter.Seconds())
	}
	framing, body := "Content-Length: 4", "done"
	if rep.trailer != "" {
		framing, body = "Transfer-Encoding: chunked", "4\r\ndone\r\n0\r\n"+rep.trailer+"\r\n"
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 %d x\r\nX-Request-Id: %s\r\n%s\r\n%s\r\n", rep.status, id, framing, rep.header); err != nil {
		return false
	}
	if u.replied != nil {
		u.replied(rep)
	}
	time.Sleep(rep.bodyDelay)
	if rep.truncated {
		return false
	}
	_, err := fmt.Fprint(c, body)
	return err == nil
}

// fakeSite is a Control whose allocator grants the first upstream, by ID, that the
// request does not exclude, or a random one if rng is set.
type fakeSite struct {
	*grantingControl
	upstreams map[string]*fakeUpstream // by address

	mu          sync.Mutex
	grantDelay  time.Duration // between the choice of an upstream and the grant
	rng         *rand.Rand
	ignoreTried bool // grants excluded upstreams as well
	acquired    []*plane.AcquireRequest
	released    []place.Outcome
}

// newFakeSite returns a site with the given upstreams, named i-1, i-2 and so on.
func newFakeSite(t testing.TB, list ...*fakeUpstream) *fakeSite {
	t.Helper()
	s := &fakeSite{grantingControl: newGrantingControl(t, addrOf("i-1")), upstreams: map[string]*fakeUpstream{}}
	for i, u := range list {
		id := corianderwing.UpstreamID(fmt.Sprintf("i-%d", i+1))
		s.upstreams[addrOf(id)] = u
		s.announce(t, corianderwing.Upstream{ID: id, Incarnation: 1, Pool: "files", Addr: addrOf(id)})
	}
	return s
}

// addrOf returns the address of the upstream with an ID such as i-7.
func addrOf(id corianderwing.UpstreamID) string {
	return "10.0.0." + strings.TrimPrefix(string(id), "i-") + ":80"
}

func (s *fakeSite) View() (*model.View, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view, true
}

// apply applies a command to the shared state.
func (s *fakeSite) apply(t testing.TB, c *model.Command) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	next, err := s.view.Apply(c, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	s.view = next
}

// announce announces an upstream of failure domain a.
func (s *fakeSite) announce(t testing.TB, u corianderwing.Upstream) {
	t.Helper()
	u.Version, u.Domain, u.Slots, u.Phase = "v1", "a", 100, corianderwing.Ready
	s.apply(t, &model.Command{Announce: []model.Announcement{{Upstream: u}}})
}

func (s *fakeSite) Acquire(ctx context.Context, q *plane.AcquireRequest) (*plane.AcquireResponse, follow.SlotSource, bool) {
	s.mu.Lock()
	s.acquired = append(s.acquired, q)
	id := place.ID(len(s.acquired))
	delay := s.grantDelay
	free := slices.SortedFunc(slices.Values(s.view.PoolUpstreams(q.Pool)), func(a, b *model.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	free = slices.DeleteFunc(free, func(u *model.Upstream) bool { return !s.ignoreTried && slices.Contains(q.ExcludedUpstreams, u.ID) })
	var best *model.Upstream
	if len(free) > 0 {
		best = free[0]
	}
	if s.rng != nil && len(free) > 0 {
		best = free[s.rng.IntN(len(free))]
	}
	s.mu.Unlock()
	time.Sleep(delay)
	src := follow.SlotSource{Peer: "control", Domain: "a"}
	if best == nil {
		return &plane.AcquireResponse{Error: corianderwing.Errorf(corianderwing.NoUpstream, "no usable upstream"), RetryAfter: 400}, src, true
	}
	return &plane.AcquireResponse{ID: id, Upstream: best.ID, Incarnation: best.Incarnation, ExpectedLatency: 100}, src, true
}

func (s *fakeSite) Release(_ follow.SlotSource, _ corianderwing.PoolID, o place.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released = append(s.released, o)
}

// dial opens an in-memory connection to an upstream.
func (s *fakeSite) dial(ctx context.Context, addr string) (net.Conn, error) {
	u := s.upstreams[addr]
	u.mu.Lock()
	delay := u.dialDelay
	u.mu.Unlock()
	if !sleepContext(ctx, delay) {
		return nil, ctx.Err()
	}
	client, server := net.Pipe()
	go u.serve(server)
	return client, nil
}

func sleepContext(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// start starts an entry instance of the site with the given dialect and boot clock,
// and waits until it knows the pool.
func (s *fakeSite) start(d corianderwing.Dialect, l *log.Logger, boot func() time.Time) *Server {
	g := New(Config{
		Domain:     "a",
		RegionOf:   func(d corianderwing.DomainID) corianderwing.RegionID { return corianderwing.RegionID("r-" + d) },
		Control:    s,
		Limits:     NewLimits(time.Second),
		Dialect:    d,
		Dial:       s.dial,
		Log:        l,
		Boot:       boot,
		RetryRatio: 0.2,
	})
	g.NotifyChange()
	synctest.Wait()
	return g
}

// startQuiet starts an entry instance that logs nothing. Its boot clock is that of
// the test.
func (s *fakeSite) startQuiet() *Server { return s.start(&platform.Adapter{}, quiet, time.Now) }

// send sends a request to the entry instance and returns the response.
func send(g *Server, id int) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/files/1", nil)
	r.Host = "shop.example"
	r.Header.Set("X-Request-Id", fmt.Sprintf("%016x", id))
	r.Header.Set("X-Key", "k-1")
	g.ServeHTTP(w, r)
	return w
}

// plain is the script of an upstream that says nothing of itself.
func plain(int) reply { return reply{} }

// lockedBuffer is a buffer for the log lines of an instance, which several
// goroutines write.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// headerLines returns header lines as they are sent.
func headerLines(set func(c *platform.Client, h http.Header)) string {
	h := http.Header{}
	set(&platform.Client{}, h)
	var b strings.Builder
	h.Write(&b)
	return b.String()
}

// leavingHeader announces that an upstream leaves.
var leavingHeader = headerLines(func(c *platform.Client, h http.Header) { c.AnnounceLeaving(h) })

// rejection returns a reply that says that the request was not executed.
func rejection(header string) reply {
	w := httptest.NewRecorder()
	(&platform.Client{}).Decline(w, soak.Arrival{}, true)
	w.Header().Del("X-Request-Id")
	return reply{status: w.Code, header: header + headerLines(func(_ *platform.Client, h http.Header) { maps.Copy(h, w.Header()) })}
}

// pushBack returns a reply that rejects a request and asks for no others.
func pushBack(retryAfter string) reply { return rejection("Retry-After: " + retryAfter + "\r\n") }
