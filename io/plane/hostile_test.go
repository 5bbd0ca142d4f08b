package plane

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/internal/extreme"
	"corianderwing/io/peer"
	"corianderwing/io/quorum"
)

// openSingle opens a control instance that leads a group of its own, and a client
// with which other instances call it.
func openSingle(t *testing.T) (*Plane, *peer.Client, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	quiet := &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	client, server := peer.NewClient([]byte("secret")), peer.NewServer([]byte("secret"))
	p, err := Open(Config{
		Quorum: quorum.Config{
			PeerAddr: addr, Domain: "a", Region: "r", DataDir: filepath.Join(t.TempDir(), "site"), Seeds: []string{addr}, Bootstrap: true,
			NumVoters: 1, Log: quiet,
		},
		RegionOf:          func(corianderwing.DomainID) corianderwing.RegionID { return "r" },
		HeartbeatInterval: time.Minute,
		LookupTTL:         time.Second,
		UsageWindow:       5 * time.Second,
		RateTolerance:     RateTolerance{Window: 5 * time.Second, Fraction: 0.1, Requests: 20},
		Log:               quiet,
	}, client, server)
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(l)
	t.Cleanup(func() {
		p.Close(context.Background())
		client.Close()
		server.Stop()
	})
	return p, client, addr
}

// names are those that the state knows, and others.
var names = []string{"", "files", "i-1", "w", "files.v2", "a", "v1", "v2", "/files/", "reserve", "127.0.0.1:1", strings.Repeat("x", 300)}

// sendHostile sends drawn messages of a method, and fails the test if the handler
// panicked at one.
func sendHostile[Req, Resp any](t *testing.T, c *peer.Client, addr string, m peer.Method[Req, Resp], n int, seed uint64) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 1))
	var wg sync.WaitGroup
	for range n {
		q := new(Req)
		extreme.Fill(r, names, q)
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			if _, err := peer.Call(ctx, c, addr, m, q); err != nil && strings.Contains(err.Error(), "panicked") {
				t.Errorf("%s: %v\nmessage %+v", m.Name, err, *q)
			}
		})
	}
	wg.Wait()
}

// Guards against one unexpected message of another instance that ends the process of
// a control instance: in its handler, or later in a loop that uses what it said.
func TestHostileMessages(t *testing.T) {
	is := is.New(t)
	p, c, addr := openSingle(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	is.NoErr(p.propose(ctx, &model.Command{Edit: &corianderwing.Edit{
		Rules:             []corianderwing.Rule{{Name: "/files/", Version: 1, Host: "h", Prefix: "/files/", Timeout: 4000, Targets: []corianderwing.Target{{Pool: "files", Weight: 1}}}},
		WorkspacePolicies: []corianderwing.WorkspacePolicy{{Name: "w", Version: 1, Keys: []string{"k"}, Rate: 10, Burst: 10}},
		Pools:             []corianderwing.Pool{{Name: "files", Version: 1}},
	}}))
	is.NoErr(p.propose(ctx, &model.Command{Announce: []model.Announcement{{Upstream: corianderwing.Upstream{
		ID: "i-1", Incarnation: 1, Pool: "files", Version: "v1", Domain: "a", Addr: "127.0.0.1:1", Slots: 3, Phase: corianderwing.Ready,
	}}}}))
	is.NoErr(p.Move(ctx, "files", "v2", time.Now().Add(time.Minute)))
	for seed := range uint64(4) {
		sendHostile(t, c, addr, HeartbeatMethod, 60, seed)
		sendHostile(t, c, addr, reportMethod, 60, seed)
		sendHostile(t, c, addr, AcquireMethod, 60, seed)
		sendHostile(t, c, addr, ReleaseMethod, 60, seed)
		sendHostile(t, c, addr, BorrowMethod, 60, seed)
	}
	// The loops of this instance use what the messages said.
	sent := p.lastConfirmed()
	for range 3 {
		for p.lastConfirmed() == sent && ctx.Err() == nil {
			time.Sleep(10 * time.Millisecond)
		}
		sent = p.lastConfirmed()
	}
	is.NoErr(ctx.Err())
}

func (p *Plane) lastConfirmed() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.confirmedAt
}
