package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"corianderwing"
)

// slowAdapter is an Adapter whose Admin calls wait, and then need the group.
type slowAdapter struct {
	corianderwing.Dialect
	corianderwing.UsageDialect
	started chan struct{} // receives a value when a call of /slow has begun
	release chan struct{} // ends its wait when closed
}

func (a slowAdapter) Admin(s corianderwing.ControlPlane, _ *log.Logger) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			a.started <- struct{}{}
			<-a.release
		}
		ctx, cancel := context.WithTimeout(r.Context(), 900*time.Millisecond)
		defer cancel()
		if _, err := s.Items(ctx); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
}
func (slowAdapter) Lookup(corianderwing.ControlPlane) http.Handler { return http.NotFoundHandler() }
func (slowAdapter) Ready(func() bool) http.Handler                 { return http.NotFoundHandler() }

// Guards against orders of operators and heartbeats of upstreams that are cut off
// without a response by a planned stop of the control instance that is handling them.
func TestStopAnswersCalls(t *testing.T) {
	is := is.New(t)
	ip := fmt.Sprintf("127.%d.%d.%d", 100+rand.IntN(100), 1+rand.IntN(250), 1+rand.IntN(250)) // ports are free there
	s := &Settings{
		Name: "c", Role: Control, IP: ip, Domain: "a", Region: "r", Ports: []int{7000, 7003}, Seeds: []string{ip + ":7000"}, Bootstrap: true,
		DataDir: t.TempDir(), LogLevel: "panic", Listen: Listen{Admin: ip + ":7010"},
	}
	s.applyDefaults()
	a := slowAdapter{started: make(chan struct{}), release: make(chan struct{})}
	n, err := Start(s, a)
	is.NoErr(err)
	call := func(path string) (int, error) {
		resp, err := http.Get("http://" + s.Listen.Admin + path)
		if err != nil {
			return 0, err
		}
		return resp.StatusCode, resp.Body.Close()
	}
	for status := 0; status != http.StatusOK; {
		status, err = call("/") // until there is a leader
		is.NoErr(err)
	}
	type result struct {
		status int
		err    error
	}
	called := make(chan result)
	go func() {
		status, err := call("/slow")
		called <- result{status, err}
	}()
	<-a.started
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	stopped := make(chan error)
	go func() { stopped <- n.Close(ctx) }()
	for err == nil { // until the stop has begun
		var c net.Conn
		if c, err = net.Dial("tcp", s.Listen.Admin); err == nil {
			c.Close()
		}
	}
	close(a.release)
	r := <-called
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusOK)
	is.NoErr(<-stopped)
}
