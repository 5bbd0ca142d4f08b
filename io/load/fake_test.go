package load

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"corianderwing"
	"corianderwing/io/conf"
	"corianderwing/io/stub"
)

// fakeSystem answers like entry instances and stand-ins, in virtual time.
type fakeSystem struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	start   time.Time
	served  map[string]int // by host
	lookups int
	runs    []stub.Run
	claims  map[string]bool

	dead     map[string]bool                // hosts that refuse connections
	stopping map[string]bool                // hosts that refuse requests
	decide   func(n int) corianderwing.Code // overrides the answer to the n-th request
	twice    bool                           // runs every order of a second copy again
	foreign  bool                           // answers with another path
	n        int
}

func newFake(cfg *conf.Config) *fakeSystem {
	f := &fakeSystem{
		buckets:  map[string]*bucket{},
		start:    time.Now(),
		served:   map[string]int{},
		claims:   map[string]bool{},
		dead:     map[string]bool{},
		stopping: map[string]bool{},
		decide:   func(int) corianderwing.Code { return 0 },
	}
	for _, w := range cfg.Tree {
		rate, burst, _ := agreed(cfg, w.Name)
		f.buckets[string(w.Name)] = newBucket(rate, burst)
	}
	return f
}

const fakeTime = 10 * time.Millisecond

func (f *fakeSystem) RoundTrip(r *http.Request) (*http.Response, error) {
	f.mu.Lock()
	dead := f.dead[r.URL.Host]
	f.mu.Unlock()
	switch {
	case dead:
		return nil, &net.OpError{Op: "dial", Err: errors.New("refused")}
	case r.URL.Path == "/-/lookup":
		return f.lookup(), nil
	case r.URL.Path == "/ran":
		return f.ran(r.URL.Host), nil
	}
	code := f.admit(r)
	if code == corianderwing.OK {
		time.Sleep(fakeTime) // virtual
	}
	return f.answer(r, code), nil
}

func (f *fakeSystem) lookup() *http.Response {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lookups++
	return reply(http.StatusOK, advice{
		Use:   []address{{"127.0.0.1:21100"}},
		Other: []address{{"127.0.0.1:21110"}, {"127.0.0.1:21120"}},
		Until: time.Now().Add(5 * time.Second),
	})
}

// ran puts all runs into the log of the first stand-in.
func (f *fakeSystem) ran(host string) *http.Response {
	ran := stub.Ran{Slots: 1, Peak: 1}
	if host == "127.0.0.1:22000" {
		ran.Runs = f.runs
	}
	return reply(http.StatusOK, ran)
}

// admit decides one request by a central bucket, as an ideal system would.
func (f *fakeSystem) admit(r *http.Request) corianderwing.Code {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopping[r.URL.Host] {
		return corianderwing.Stopping
	}
	f.n++
	if code := f.decide(f.n); code != 0 {
		return code
	}
	b := f.buckets[strings.Split(r.URL.Path, "/")[1]]
	now := time.Since(f.start)
	b.level = min(b.burst, b.level+b.rate*(now-b.last).Seconds())
	b.last = now
	if b.level < 1 {
		return corianderwing.RateExceeded
	}
	b.level--
	f.served[r.URL.Host]++
	return f.claim(r.Header.Get("Idempotency-Key"))
}

func (f *fakeSystem) claim(order string) corianderwing.Code {
	if order == "" {
		return corianderwing.OK
	}
	again := f.claims[order]
	f.claims[order] = true
	if !again || f.twice {
		f.runs = append(f.runs, stub.Run{Order: order})
	}
	if again {
		return corianderwing.ReplayedResponse
	}
	return corianderwing.OK
}

func (f *fakeSystem) answer(r *http.Request, code corianderwing.Code) *http.Response {
	path := "/" + strings.SplitN(r.URL.RequestURI(), "/", 4)[3] // below the service
	if f.foreign {
		path += "0"
	}
	resp := reply(code.Status(), stub.Answer{Path: path, Order: r.Header.Get("Idempotency-Key")})
	resp.Header.Set("Cw-Code", strconv.Itoa(int(code)))
	resp.Header.Set("Cw-Run", string(code.Execution()))
	return resp
}

func reply(status int, v any) *http.Response {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(data))}
}
