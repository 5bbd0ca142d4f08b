package accept

import (
	"bytes"
	"context"
	"net"
	"net/http"

	"corianderwing"
	"corianderwing/core/budget"
)

const (
	// freeHead is the part of a head that the cost of its connection covers.
	freeHead corianderwing.Bytes = 6 << 10
	// freeAhead is the part of what is read ahead, and freeWrite that of a response,
	// that it covers.
	freeAhead = 4 << 10
	freeWrite = 4 << 10
	// chargeStep is the unit in which the head and the body of a request are charged.
	chargeStep corianderwing.Bytes = 4 << 10
	// bodyCost is the memory of a byte of a body that its handler keeps as a whole,
	// in a buffer that grows.
	bodyCost = 2
)

// connKey is the context key of a *conn.
type connKey struct{}

// fromContext returns the connection of a request, or nil.
func fromContext(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	if c == nil || c.account == nil {
		return nil
	}
	return c
}

// Reserve charges n bytes to the request of ctx until its response is written. It
// reports whether they fit into the memory of the process.
func Reserve(ctx context.Context, n corianderwing.Bytes) bool {
	c := fromContext(ctx)
	return c == nil || c.charge(n)
}

// Handler charges requests to their connections until their responses are written, for
// which the server needs ConnState.
func (g *Guard) Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := fromContext(r.Context())
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		if !c.beginRequest(r) {
			panic(http.ErrAbortHandler)
		}
		if c.account.Class() != budget.Callers { // their responses are bounded by the slots of the upstreams
			w = &chargingWriter{w, c}
		}
		h.ServeHTTP(w, r)
	})
}

// ConnState is the http.Server.ConnState of a server with a guard. The server keeps a
// request beyond its handler, until it has read or given up the rest of the body.
func ConnState(nc net.Conn, s http.ConnState) {
	if c, ok := nc.(*conn); ok && c.account != nil && s == http.StateIdle {
		c.endRequest()
		c.account.SetPhase(budget.Idle)
	}
}

// charge adds n bytes to those held by the current request.
func (c *conn) charge(n corianderwing.Bytes) bool {
	if !c.guard.reserve(c, n) {
		c.guard.report(refusedRequest, c.account.Class(), c.account.Addr())
		return false
	}
	c.held.Add(int64(n))
	return true
}

// beginRequest charges the head of a request. Its bytes may have been read together
// with the body of the request before it, when nothing was charged for them.
func (c *conn) beginRequest(r *http.Request) bool {
	fields, size := 0, len(r.RequestURI)
	for name, values := range r.Header {
		fields += len(values)
		for _, v := range values {
			size += len(name) + len(v)
		}
	}
	ok := c.chargeHead(size, fields)
	c.headBytes, c.headFields = 0, 0
	c.account.SetPhase(budget.Work)
	return ok
}

// endRequest releases what the request held.
func (c *conn) endRequest() {
	c.bodyBytes.Store(0)
	if n := c.held.Swap(0); n > 0 {
		c.guard.release(c, corianderwing.Bytes(n))
	}
}

// chargeHead charges a head of the given size, as far as it is not charged yet.
func (c *conn) chargeHead(size, fields int) bool {
	cost := corianderwing.Bytes(size) + corianderwing.Bytes(fields)*budget.FieldCost - freeHead
	if missing := cost - corianderwing.Bytes(c.held.Load()); missing > 0 {
		return c.charge(max(missing, chargeStep))
	}
	return true
}

// arrived records bytes that the server reads, and reports whether they fit.
func (c *conn) arrived(p []byte) bool {
	switch c.account.Phase() {
	case budget.Work:
		return c.arrivedBody(len(p))
	case budget.Idle:
		c.account.SetPhase(budget.Head)
	}
	c.headBytes += len(p)
	c.headFields += bytes.Count(p, newline)
	return c.chargeHead(c.headBytes, c.headFields)
}

var newline = []byte{'\n'}

// arrivedBody charges a body that its handler keeps as a whole. The requests of callers
// charge for the part that they keep.
func (c *conn) arrivedBody(n int) bool {
	if c.account.Class() == budget.Callers {
		return true
	}
	before := c.bodyBytes.Add(int64(n)) - int64(n)
	steps := (before+int64(n))/int64(chargeStep) - before/int64(chargeStep)
	return steps == 0 || c.charge(bodyCost*corianderwing.Bytes(steps)*chargeStep)
}

// chargingWriter charges a response that its handler builds as a whole and that the
// client may not take.
type chargingWriter struct {
	http.ResponseWriter
	conn *conn
}

// Write implements http.ResponseWriter. If the response does not fit, the connection is
// closed.
func (w *chargingWriter) Write(p []byte) (int, error) {
	if len(p) > freeWrite && !w.conn.charge(corianderwing.Bytes(len(p))) {
		w.conn.reset()
		return 0, net.ErrClosed
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap is called by http.ResponseController.
func (w *chargingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// reset closes the connection at once. If a request is handled, what the client has not
// taken of its response is dropped, so that it cannot take it for complete.
func (c *conn) reset() {
	if c.account.Phase() == budget.Work {
		c.SetLinger(0) // fails only on a closed connection
	}
	c.Close()
}
