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
	// startLineOverhead is the maximum size of a status or request line and the
	// headers that net/http adds. fieldOverhead is the size of the separators
	// of a header field.
	startLineOverhead = 256
	fieldOverhead     = 4
	// chunkOverhead is the framing of one chunk of a body of unknown length.
	chunkOverhead = 16
	// linkFullTTL is how long a region is skipped after its owner reported that
	// its link to this region is full. It limits the number of errors sent over
	// that link.
	linkFullTTL = 50 * time.Millisecond
)

// pacer acquires link tokens for the bytes that one request or response sends
// to another region. All methods accept a nil receiver, which stands for
// traffic within the region.
type pacer struct {
	ctx      context.Context
	links    corianderwing.LinkLimiter
	to       corianderwing.RegionID
	reserved atomic.Int64        // atomic, because a separate goroutine sends a large body
	sent     corianderwing.Bytes // written by the sender only
	count    metrics.Counter
}

// newPacer returns the pacer for traffic to a region, or nil if it needs none.
func (s *Server) newPacer(ctx context.Context, to corianderwing.RegionID) *pacer {
	if s.cfg.Links == nil || to == "" || to == s.self.Region {
		return nil
	}
	name := "link." + string(s.self.Region) + "." + string(to) + ".bytes"
	return &pacer{ctx: ctx, links: s.cfg.Links, to: to, count: metrics.GetOrRegisterCounter(name, s.meter.registry)}
}

func (p *pacer) reserve(n corianderwing.Bytes) *corianderwing.Error {
	if err := p.links.Reserve(p.ctx, p.to, n); err != nil {
		return asError(err)
	}
	p.reserved.Store(int64(n))
	return nil
}

// release releases the reservation.
func (p *pacer) release() {
	if p == nil {
		return
	}
	if n := p.reserved.Swap(0); n > 0 {
		p.links.Release(p.to, corianderwing.Bytes(n))
	}
}

// acquire acquires tokens for up to n bytes and returns the number of bytes
// covered.
func (p *pacer) acquire(n int) (int, error) {
	p.release()
	acquired, err := p.links.Acquire(p.ctx, p.to, corianderwing.Bytes(n))
	p.sent += acquired
	p.count.Inc(int64(acquired))
	return int(acquired), err
}

// acquireAll acquires tokens for n bytes that are sent together.
func (p *pacer) acquireAll(n int) error {
	for n > 0 {
		acquired, err := p.acquire(n)
		if err != nil {
			return err
		}
		n -= acquired
	}
	return nil
}

// wrapWriter returns a function that wraps a writer to acquire tokens before
// each write. It returns nil for a nil pacer.
func (p *pacer) wrapWriter() func(io.Writer) io.Writer {
	if p == nil {
		return nil
	}
	return func(w io.Writer) io.Writer { return &pacedWriter{p, w} }
}

type pacedWriter struct {
	p *pacer
	w io.Writer
}

// Write implements io.Writer.
func (o *pacedWriter) Write(b []byte) (n int, err error) {
	for n < len(b) {
		acquired, err := o.p.acquire(len(b) - n)
		if err != nil {
			return n, err
		}
		m, err := o.w.Write(b[n : n+acquired])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// responseWriter returns a ResponseWriter that acquires tokens for the header
// and the body.
func (p *pacer) responseWriter(w http.ResponseWriter) http.ResponseWriter {
	if p == nil {
		return w
	}
	return &pacedResponseWriter{ResponseWriter: w, p: p}
}

type pacedResponseWriter struct {
	http.ResponseWriter
	p *pacer
}

// Unwrap is used by http.ResponseController.
func (a *pacedResponseWriter) Unwrap() http.ResponseWriter { return a.ResponseWriter }

// WriteHeader acquires tokens for the header. If it gets none, it aborts the
// connection, because net/http would otherwise send an empty response.
func (a *pacedResponseWriter) WriteHeader(status int) {
	n := startLineOverhead
	for name, values := range a.Header() {
		for _, v := range values {
			n += len(name) + len(v) + fieldOverhead
		}
	}
	if err := a.p.acquireAll(n); err != nil {
		panic(http.ErrAbortHandler)
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write acquires tokens for the body and its chunk framing.
func (a *pacedResponseWriter) Write(b []byte) (n int, err error) {
	for n < len(b) {
		if err := a.p.acquireAll(chunkOverhead); err != nil {
			return n, err
		}
		acquired, err := a.p.acquire(len(b) - n)
		if err != nil {
			return n, err
		}
		m, err := a.ResponseWriter.Write(b[n : n+acquired])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// reserveRequest reserves link capacity for a request that is forwarded to
// another region. It fails with LinkFull if the link in either direction is
// full.
func (s *Server) reserveRequest(ctx context.Context, j *job, to corianderwing.RegionID) (*pacer, *corianderwing.Error) {
	p := s.newPacer(ctx, to)
	if p == nil {
		return nil, nil
	}
	if until, ok := s.fullLinks.Load(to); ok && time.Now().Before(until.(time.Time)) {
		return nil, corianderwing.Errorf(corianderwing.LinkFull, "link from %s to %s", to, s.self.Region)
	}
	n := 2*startLineOverhead + len(j.method) + len(j.uri) + len(j.host) + int(max(j.body.ContentLength, int64(len(j.body.Prefix))))
	for _, f := range j.header {
		n += len(f.Name) + len(f.Value) + fieldOverhead
	}
	return p, p.reserve(corianderwing.Bytes(n))
}

// recordLinkFull records that the link from a region to this one is full.
func (s *Server) recordLinkFull(from corianderwing.RegionID, e *corianderwing.Error) {
	if e.Code == corianderwing.LinkFull {
		s.fullLinks.Store(from, time.Now().Add(linkFullTTL))
	}
}

// responsePacer returns the pacer for the response to a forwarded request. It
// stays valid for a second after the request's deadline, so that the error for
// a missed deadline can still be sent.
func (s *Server) responsePacer(r *http.Request, j *job) (p *pacer, stop func()) {
	p = s.newPacer(r.Context(), corianderwing.RegionID(r.Header.Get(hRegion)))
	if p == nil {
		return nil, func() {}
	}
	var cancel context.CancelFunc
	p.ctx, cancel = context.WithDeadline(p.ctx, j.deadline.Add(time.Second))
	return p, func() {
		p.release()
		cancel()
	}
}

// reserveResponse reserves link capacity for the typical response of the route.
func (s *Server) reserveResponse(p *pacer, j *job) *corianderwing.Error {
	if p == nil {
		return nil
	}
	return p.reserve(s.sizeEstimator(j).Estimate())
}

// observeSize adds the size of a complete response to the estimate of its
// route.
func (s *Server) observeSize(p *pacer, j *job) {
	if p != nil {
		s.sizeEstimator(j).Observe(p.sent)
	}
}

func (s *Server) sizeEstimator(j *job) *link.SizeEstimator {
	id := routeID{j.workspace, j.service, j.route}
	if est, ok := s.sizeEstimators.Load(id); ok {
		return est.(*link.SizeEstimator)
	}
	z, _ := s.sizeEstimators.LoadOrStore(id, new(link.SizeEstimator))
	return z.(*link.SizeEstimator)
}

// mergeFailure returns the error to report for e after an earlier failure. The
// result is not NotExecuted if the request may have been executed before. An
// error for a failure domain without upstreams or owner does not replace
// LinkFull, because the other domains are behind full links.
func mergeFailure(last, e *corianderwing.Error) *corianderwing.Error {
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
