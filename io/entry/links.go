package entry

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"corianderwing"
	"corianderwing/core/link"
)

const (
	// headBytes is what a status or request line and the headers that net/http
	// adds take at most, and lineBytes what surrounds each header field.
	headBytes = 256
	lineBytes = 4
	// chunkBytes surround one chunk of a body of unknown length.
	chunkBytes = 16
	// fullFor is how long a region is skipped after its owner found the link
	// back to be full. It bounds the refusals that cross the link.
	fullFor = 50 * time.Millisecond
)

// pacer pays for what one request or one answer sends to another region. All
// methods accept nil, which stands for a way within the region.
type pacer struct {
	ctx    context.Context
	links  corianderwing.LinkLimiter
	to     corianderwing.RegionID
	booked atomic.Int64        // a large body is sent by a goroutine
	sent   corianderwing.Bytes // changed by the sender only
	count  metrics.Counter
}

// crossing returns the pacer for the way to a region.
func (s *Server) crossing(ctx context.Context, to corianderwing.RegionID) *pacer {
	if s.cfg.Links == nil || to == "" || to == s.self.Region {
		return nil
	}
	name := "link." + string(s.self.Region) + "." + string(to) + ".bytes"
	return &pacer{ctx: ctx, links: s.cfg.Links, to: to, count: metrics.GetOrRegisterCounter(name, s.meter.registry)}
}

// book reserves n bytes.
func (p *pacer) book(n corianderwing.Bytes) *corianderwing.Error {
	if err := p.links.Reserve(p.ctx, p.to, n); err != nil {
		return asError(err)
	}
	p.booked.Store(int64(n))
	return nil
}

// settle ends the booking.
func (p *pacer) settle() {
	if p == nil {
		return
	}
	if n := p.booked.Swap(0); n > 0 {
		p.links.Release(p.to, corianderwing.Bytes(n))
	}
}

// pay takes tokens for up to n bytes and returns for how many.
func (p *pacer) pay(n int) (int, error) {
	p.settle()
	paid, err := p.links.Acquire(p.ctx, p.to, corianderwing.Bytes(n))
	p.sent += paid
	p.count.Inc(int64(paid))
	return int(paid), err
}

// payAll pays for n bytes that are sent together.
func (p *pacer) payAll(n int) error {
	for n > 0 {
		paid, err := p.pay(n)
		if err != nil {
			return err
		}
		n -= paid
	}
	return nil
}

// wrap returns a function that makes a writer pay for each byte before it is
// written, or nil.
func (p *pacer) wrap() func(io.Writer) io.Writer {
	if p == nil {
		return nil
	}
	return func(w io.Writer) io.Writer { return &pacedOut{p, w} }
}

type pacedOut struct {
	p *pacer
	w io.Writer
}

// Write implements io.Writer.
func (o *pacedOut) Write(b []byte) (n int, err error) {
	for n < len(b) {
		paid, err := o.p.pay(len(b) - n)
		if err != nil {
			return n, err
		}
		m, err := o.w.Write(b[n : n+paid])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// writer returns a ResponseWriter that pays for the header and the body.
func (p *pacer) writer(w http.ResponseWriter) http.ResponseWriter {
	if p == nil {
		return w
	}
	return &pacedAnswer{ResponseWriter: w, p: p}
}

type pacedAnswer struct {
	http.ResponseWriter
	p *pacer
}

// Unwrap is used by http.ResponseController.
func (a *pacedAnswer) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// WriteHeader pays for the header. Without tokens it ends the connection: an
// empty answer must not be sent instead.
func (a *pacedAnswer) WriteHeader(status int) {
	n := headBytes
	for name, values := range a.Header() {
		for _, v := range values {
			n += len(name) + len(v) + lineBytes
		}
	}
	if err := a.p.payAll(n); err != nil {
		panic(http.ErrAbortHandler)
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write pays for the body and the ends of its chunks.
func (a *pacedAnswer) Write(b []byte) (n int, err error) {
	for n < len(b) {
		if err := a.p.payAll(chunkBytes); err != nil {
			return n, err
		}
		paid, err := a.p.pay(len(b) - n)
		if err != nil {
			return n, err
		}
		m, err := a.ResponseWriter.Write(b[n : n+paid])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// bookRequest books a request that is handed over to another region. It fails
// with LinkFull if the link there or the link back is full.
func (s *Server) bookRequest(ctx context.Context, j *job, to corianderwing.RegionID) (*pacer, *corianderwing.Error) {
	p := s.crossing(ctx, to)
	if p == nil {
		return nil, nil
	}
	if until, ok := s.full.Load(to); ok && time.Now().Before(until.(time.Time)) {
		return nil, corianderwing.Errorf(corianderwing.LinkFull, "link from %s to %s", to, s.self.Region)
	}
	n := 2*headBytes + len(j.method) + len(j.uri) + len(j.host) + int(max(j.body.ContentLength, int64(len(j.body.Prefix))))
	for _, f := range j.header {
		n += len(f.Name) + len(f.Value) + lineBytes
	}
	return p, p.book(corianderwing.Bytes(n))
}

// noteFull remembers that the link back from a region is full.
func (s *Server) noteFull(from corianderwing.RegionID, e *corianderwing.Error) {
	if e.Code == corianderwing.LinkFull {
		s.full.Store(from, time.Now().Add(fullFor))
	}
}

// paceAnswer returns the pacer for the answer to a request that was handed
// over. It outlasts the request's deadline, so that a refusal for that can
// still be sent.
func (s *Server) paceAnswer(r *http.Request, j *job) (p *pacer, stop func()) {
	p = s.crossing(r.Context(), corianderwing.RegionID(r.Header.Get(hRegion)))
	if p == nil {
		return nil, func() {}
	}
	var cancel context.CancelFunc
	p.ctx, cancel = context.WithDeadline(p.ctx, j.deadline.Add(time.Second))
	return p, func() {
		p.settle()
		cancel()
	}
}

// bookAnswer books the answer that the route usually has.
func (s *Server) bookAnswer(p *pacer, j *job) *corianderwing.Error {
	if p == nil {
		return nil
	}
	return p.book(s.size(j).Estimate())
}

// learn adds the size of a complete answer to the estimate of its route.
func (s *Server) learn(p *pacer, j *job) {
	if p != nil {
		s.size(j).Observe(p.sent)
	}
}

func (s *Server) size(j *job) *link.SizeEstimator {
	id := routeID{j.workspace, j.service, j.route}
	if z, ok := s.sizes.Load(id); ok {
		return z.(*link.SizeEstimator)
	}
	z, _ := s.sizes.LoadOrStore(id, new(link.SizeEstimator))
	return z.(*link.SizeEstimator)
}

// sinceLast returns the refusal e after an earlier failure. It is not "not
// run" if the request may have run before. A place without upstreams does not
// hide that the others are behind full links.
func sinceLast(last, e *corianderwing.Error) *corianderwing.Error {
	if last == nil {
		return e
	}
	if last.Code == corianderwing.LinkFull && (e.Code == corianderwing.NoUpstream || e.Code == corianderwing.NotOwner) {
		return last
	}
	if last.Execution == corianderwing.NotExecuted || e.Execution != corianderwing.NotExecuted {
		return e
	}
	c := *e
	c.Execution = last.Execution
	return &c
}
