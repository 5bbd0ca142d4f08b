package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Fault is what happens to the bytes of one direction of a link.
type Fault struct {
	Delay  time.Duration // added to each byte's way
	Silent bool          // bytes are kept, as on a path that drops all packets
}

// link is one direction between two processes.
type link struct{ from, to string }

// Proxy stands between all processes. Every process listens on a private IP
// and connects from it, and is known to the others by a face IP on which the
// Proxy listens: so the Proxy knows both ends of each connection.
type Proxy struct {
	mu     sync.Mutex
	faults map[link]Fault
	conns  map[*pipe]struct{}
	names  map[string]string // process of a private IP
	listen []net.Listener
	wg     sync.WaitGroup
}

// pipe is a connection through the Proxy.
type pipe struct {
	from, to string
	a, b     net.Conn
}

// Outside is the name of callers, upstreams and operators as the source of a
// connection.
const Outside = "outside"

// NewProxy returns a Proxy without listeners.
func NewProxy() *Proxy {
	return &Proxy{faults: map[link]Fault{}, conns: map[*pipe]struct{}{}, names: map[string]string{}}
}

// Name tells which process a private IP belongs to.
func (p *Proxy) Name(ip, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.names[ip] = name
}

// Open listens on a face address for connections to the process name, which
// listens on a private address.
func (p *Proxy) Open(face, private, name string) error {
	l, err := net.Listen("tcp", face)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listen = append(p.listen, l)
	p.mu.Unlock()
	p.wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // the listener was closed
			}
			go p.join(c, private, name)
		}
	})
	return nil
}

// Close ends all listeners and connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	for _, l := range p.listen {
		l.Close()
	}
	p.mu.Unlock()
	p.Reset(func(from, to string) bool { return true })
	p.wg.Wait()
}

// Set replaces the fault of the bytes from one process to another.
func (p *Proxy) Set(from, to string, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f == (Fault{}) {
		delete(p.faults, link{from, to})
		return
	}
	p.faults[link{from, to}] = f
}

// Reset breaks the connections that match, at both ends.
func (p *Proxy) Reset(match func(from, to string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if match(c.from, c.to) {
			abort(c.a)
			abort(c.b)
		}
	}
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func (p *Proxy) join(a net.Conn, private, to string) {
	p.mu.Lock()
	from := Outside
	if host, _, err := net.SplitHostPort(a.RemoteAddr().String()); err == nil && p.names[host] != "" {
		from = p.names[host]
	}
	p.mu.Unlock()
	b, err := net.DialTimeout("tcp", private, time.Second)
	if err != nil {
		abort(a)
		return
	}
	c := &pipe{from: from, to: to, a: a, b: b}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(b, a, link{from, to}) })
	wg.Go(func() { p.copy(a, b, link{to, from}) })
	wg.Wait()
	a.Close()
	b.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// chunk is a piece of a stream with its time of arrival; the last one has no
// data.
type chunk struct {
	data []byte
	at   time.Time
	err  error
}

const (
	chunkSize = 16 << 10 // bytes
	// chunkMost bounds what a silent or slow direction holds.
	chunkMost = 64
	// silentStep is how often a silent direction looks whether it is one still.
	silentStep = 5 * time.Millisecond
)

// copy moves the bytes of one direction, as late as its fault says.
func (p *Proxy) copy(dst, src net.Conn, l link) {
	chunks := make(chan chunk, chunkMost)
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, chunkSize)
			n, err := src.Read(buf)
			chunks <- chunk{buf[:n], time.Now(), err}
			if err != nil {
				return
			}
		}
	}()
	broken := false
	for c := range chunks {
		p.hold(l, c.at)
		if broken {
			continue
		}
		if _, err := dst.Write(c.data); err != nil {
			abort(src)
			broken = true
			continue
		}
		if c.err != nil {
			p.finish(dst, c.err)
		}
	}
}

// finish passes the end of a stream on as it came: an end, or a reset.
func (p *Proxy) finish(dst net.Conn, err error) {
	if t, ok := dst.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
		t.CloseWrite()
		return
	}
	abort(dst)
}

// hold waits until bytes that came at a time may go on.
func (p *Proxy) hold(l link, at time.Time) {
	for {
		p.mu.Lock()
		f := p.faults[l]
		p.mu.Unlock()
		if f.Silent {
			time.Sleep(silentStep)
			continue
		}
		if wait := time.Until(at.Add(f.Delay)); wait > 0 {
			time.Sleep(wait)
		}
		return
	}
}
