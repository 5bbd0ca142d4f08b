package main

import (
	"net"
	"sync"
	"testing"
)

// relay forwards TCP connections to one address. While it is silent it
// accepts connections and drops all bytes in both directions. A connection
// that was open at any time of the silence stays silent, as one does whose
// state a router has lost.
type relay struct {
	addr string // where it listens
	to   string

	mu     sync.Mutex
	silent bool
	conns  map[*relayed]bool
}

type relayed struct {
	mu     sync.Mutex
	silent bool
	ends   []net.Conn
}

func newRelay(t *testing.T, to string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", freeAddr(t))
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{addr: l.Addr().String(), to: to, conns: map[*relayed]bool{}}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { r.serve(c) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		r.mu.Lock()
		for c := range r.conns {
			c.close()
		}
		r.mu.Unlock()
		wg.Wait()
	})
	return r
}

// serve forwards one connection until either end closes it.
func (r *relay) serve(in net.Conn) {
	c := &relayed{ends: []net.Conn{in}}
	defer c.close()
	out, err := net.Dial("tcp", r.to)
	if err == nil {
		c.ends = append(c.ends, out)
	}
	r.mu.Lock()
	c.silent = r.silent
	r.conns[c] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	if err != nil {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.forward(out, in) })
	wg.Go(func() { c.forward(in, out) })
	wg.Wait()
}

// forward copies from one end to the other. A silent connection does not
// pass on its end either.
func (c *relayed) forward(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		c.mu.Lock()
		silent := c.silent
		c.mu.Unlock()
		if silent {
			if err != nil {
				return
			}
			continue
		}
		if _, werr := to.Write(buf[:n]); err != nil || werr != nil {
			c.close()
			return
		}
	}
}

func (c *relayed) close() {
	for _, e := range c.ends {
		e.Close()
	}
}

// silence cuts every connection off, or lets new ones pass again.
func (r *relay) silence(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = on
	if !on {
		return
	}
	for c := range r.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

// mesh has a relay for each direction between two control instances.
type mesh map[[2]string]*relay // from, to

// mesh puts relays between all control instances. It must be called before
// they start.
func (f *processes) mesh() mesh {
	f.t.Helper()
	m := mesh{}
	for _, from := range f.Controls {
		via := map[string]string{}
		for _, to := range f.Controls {
			if from.ID == to.ID {
				continue
			}
			r := newRelay(f.t, to.Peer)
			m[[2]string{from.ID, to.ID}] = r
			via[to.ID] = r.addr
		}
		f.configure(from.ID, via)
	}
	return m
}

// cut separates a control instance from the others, or joins it again.
func (m mesh) cut(id string, on bool) {
	for ends, r := range m {
		if ends[0] == id || ends[1] == id {
			r.silence(on)
		}
	}
}

// deaf drops what others send to a control instance on their own connections.
func (m mesh) deaf(id string, on bool) {
	for ends, r := range m {
		if ends[1] == id {
			r.silence(on)
		}
	}
}
