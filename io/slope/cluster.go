package slope

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/io/ctrl"
	"corianderwing/io/peer"
)

var secret = []byte("slope")

// cluster is control instances on loopback, each of which is a voter of every
// group.
type cluster struct {
	groups  map[corianderwing.GroupID][]ctrl.Voter
	servers []*ctrl.Server
	peers   []*peer.Server
	pc      *peer.Client
	cancel  context.CancelFunc
	in, out atomic.Int64 // bytes that the control instances received and sent
	wg      sync.WaitGroup
}

// startTimeout bounds the first election and the first changes.
const startTimeout = 30 * time.Second

// newCluster starts a cluster and gives each group's root enough seats.
func newCluster(ctx context.Context, dir string, voters, groups int) (*cluster, error) {
	ctx, cancel := context.WithCancel(ctx)
	c := &cluster{groups: map[corianderwing.GroupID][]ctrl.Voter{}, pc: peer.NewClient(secret), cancel: cancel}
	listeners := make([]net.Listener, voters)
	var list []ctrl.Voter
	for i := range voters {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Join(err, c.close())
		}
		listeners[i] = l
		list = append(list, ctrl.Voter{ID: corianderwing.InstanceID(fmt.Sprint("c", i)), Addr: l.Addr().String()})
	}
	for g := range groups {
		c.groups[groupID(g)] = list
	}
	started := make(chan error, voters)
	for i, v := range list {
		s, err := ctrl.NewServer(ctrl.Config{
			Self:    v.ID,
			DataDir: filepath.Join(dir, string(v.ID)),
			Groups:  c.groups,
			Log:     quiet(),
		}, c.pc)
		if err != nil {
			return nil, errors.Join(err, c.close())
		}
		ps := peer.NewServer(secret)
		s.Register(ps)
		c.servers, c.peers = append(c.servers, s), append(c.peers, ps)
		c.wg.Go(func() { _ = ps.Serve(&countListener{listeners[i], c}) })
		c.wg.Go(func() { started <- s.Run(ctx) })
	}
	for range voters {
		if err := <-started; err != nil {
			return nil, errors.Join(err, c.close())
		}
	}
	for g := range c.groups {
		seats := map[corianderwing.DomainID]int{domain(0): 256, domain(1): 256} // 256 is the most that settings allow
		if err := c.propose(ctx, g, corianderwing.Command{Kind: corianderwing.SetNode, Settings: &corianderwing.Settings{Seats: seats}}); err != nil {
			return nil, errors.Join(err, c.close())
		}
	}
	return c, nil
}

func groupID(i int) corianderwing.GroupID { return corianderwing.GroupID(fmt.Sprint("g", i)) }

// domain returns the failure domain of an instance.
func domain(i int) corianderwing.DomainID { return corianderwing.DomainID(fmt.Sprint("d", i%2)) }

var requests atomic.Int64

// propose commits a command at the revision that the leader has.
func (c *cluster) propose(ctx context.Context, g corianderwing.GroupID, cmd corianderwing.Command) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	client := ctrl.NewClient(c.pc, c.groups)
	lead, err := client.LeaderStatus(ctx, g)
	if err != nil {
		return err
	}
	cmd.Base = lead.Revision
	cmd.Request = corianderwing.RequestID(fmt.Sprint("slope-", requests.Add(1)))
	r, err := client.Propose(ctx, g, cmd)
	if err == nil && r.Error != nil {
		return r.Error
	}
	return err
}

func (c *cluster) close() error {
	c.cancel()
	for _, p := range c.peers {
		p.Stop()
	}
	for _, s := range c.servers {
		s.Kill()
	}
	c.pc.Close()
	c.wg.Wait()
	return nil
}

// quiet returns a logger that writes nothing.
func quiet() *log.Logger { return &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}} }

// countListener counts the bytes of its connections, as TCP payload.
type countListener struct {
	net.Listener
	c *cluster
}

func (l *countListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countConn{conn, l.c}, nil
}

type countConn struct {
	net.Conn
	c *cluster
}

func (c *countConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.c.in.Add(int64(n))
	return n, err
}

func (c *countConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.c.out.Add(int64(n))
	return n, err
}

// rates is what a window cost.
type rates struct{ cpu, in, out float64 } // % of a core, B/s, B/s

// window measures the cluster and its clients for d.
func (c *cluster) window(ctx context.Context, d time.Duration) (rates, error) {
	in, out, used, start := c.in.Load(), c.out.Load(), cpu(), time.Now()
	if err := pause(ctx, d); err != nil {
		return rates{}, err
	}
	seconds := time.Since(start).Seconds()
	return rates{
		cpu: 100 * (cpu() - used).Seconds() / seconds,
		in:  float64(c.in.Load()-in) / seconds,
		out: float64(c.out.Load()-out) / seconds,
	}, nil
}
