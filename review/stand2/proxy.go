package main

import (
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// proxy passes the connections between the machines on, with the delay of the
// deployment's links. Each machine is known to the others under an address of a proxy.
type proxy struct {
	l       net.Listener
	to      string
	from    func(ip string) time.Duration // one-way delay from a machine
	cut     func(ip string) bool          // whether the machine is cut off from this one now
	mu      sync.Mutex
	conns   map[net.Conn]bool
	stopped bool
}

func startProxy(addr, to string, from func(ip string) time.Duration, cut func(ip string) bool) (*proxy, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &proxy{l: l, to: to, from: from, cut: cut, conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

func (p *proxy) serve() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		go p.pass(c)
	}
}

// pass connects to the machine and copies both directions.
func (p *proxy) pass(c net.Conn) {
	defer c.Close()
	ip, _, _ := strings.Cut(c.RemoteAddr().String(), ":")
	delay := p.from(ip)
	time.Sleep(2 * delay) // the handshake
	cut := func() bool { return p.cut(ip) }
	waitWhile(cut)
	d, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil {
		return
	}
	defer d.Close()
	if !p.add(c, d) {
		return
	}
	defer p.remove(c, d)
	var wg sync.WaitGroup
	wg.Go(func() { copyLate(d, c, delay, cut) })
	wg.Go(func() { copyLate(c, d, delay, cut) })
	wg.Wait()
}

func (p *proxy) add(list ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range list {
		p.conns[c] = true
	}
	return !p.stopped
}

func (p *proxy) remove(list ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range list {
		delete(p.conns, c)
	}
}

func (p *proxy) close() {
	p.l.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	for c := range p.conns {
		c.Close()
	}
}

// piece is a part of a stream and when it arrives.
type piece struct {
	at   time.Time
	data []byte
}

// waitWhile waits until a cut is over. Nothing is lost or reset in the meantime.
func waitWhile(cut func() bool) {
	for cut() {
		time.Sleep(5 * time.Millisecond)
	}
}

// copyLate copies a stream, each byte after a delay, and closes both ends with it.
func copyLate(to, from net.Conn, delay time.Duration, cut func() bool) {
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			b := make([]byte, 16<<10)
			n, err := from.Read(b)
			if n > 0 {
				pieces <- piece{time.Now().Add(delay), b[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for x := range pieces {
		time.Sleep(time.Until(x.at))
		waitWhile(cut)
		if _, err := to.Write(x.data); err != nil {
			break
		}
	}
	waitWhile(cut)
	to.Close()
	from.Close()
	go io.Copy(io.Discard, from)
	for range pieces {
	}
}
