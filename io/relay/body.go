package relay

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"corianderwing"
)

// PrefixSize is the size of the part of a request body that is read before anything
// is sent. A body that fits in it can be sent again. One that is truncated or too
// large within it is refused before the request runs.
const PrefixSize = 64 << 10

// Body is the body of a request. Prefix has been read from the caller. Rest is
// streamed while it is sent, and cannot be sent twice.
type Body struct {
	Prefix        []byte
	Rest          io.Reader   // nil if Prefix is the whole body
	ContentLength int64       // -1 if unknown
	RestSent      bool        // part of Rest may have been sent
	RestAtEOF     atomic.Bool // Rest has been read to its end
	remaining     int64       // bytes of Rest that are left within the limit
}

// NoBody is the shared Body of all requests without one.
var NoBody = &Body{}

// Reserve reserves memory for a request until it ends, and reports whether there is
// enough.
type Reserve func(corianderwing.Bytes) bool

// ReadBody reads the prefix of r's body, or the whole body if all is set. Its buffer
// grows with the bytes that arrive. If reserve is not nil, it is called before each
// growth; without memory the error is MemoryShort.
func ReadBody(r *http.Request, limit int64, all bool, reserve Reserve) (*Body, *corianderwing.Error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return NoBody, nil
	}
	if r.ContentLength > limit {
		return nil, corianderwing.Errorf(corianderwing.BodyTooLarge, "body has %d bytes, limit %d", r.ContentLength, limit)
	}
	readLimit := limit
	if !all {
		readLimit = min(limit, PrefixSize)
	}
	b := &Body{ContentLength: r.ContentLength}
	var err error
	if n := r.ContentLength; n >= 0 && n <= readLimit {
		b.Prefix, err = readPrefix(r.Body, n, reserve)
		switch {
		case err == nil && int64(len(b.Prefix)) < n:
			err = io.ErrUnexpectedEOF
		case err == nil:
			err = expectEOF(r.Body)
		}
	} else {
		b.Prefix, err = readPrefix(r.Body, readLimit+1, reserve)
	}
	switch {
	case errors.Is(err, errMemoryShort):
		return nil, corianderwing.Errorf(corianderwing.MemoryShort, "no memory for more than %d bytes of the body", len(b.Prefix))
	case err != nil:
		return nil, BodyError(err, corianderwing.NotExecuted)
	case int64(len(b.Prefix)) <= readLimit:
		b.ContentLength = int64(len(b.Prefix))
		return b, nil
	case int64(len(b.Prefix)) > limit:
		return nil, corianderwing.Errorf(corianderwing.BodyTooLarge, "body exceeds the limit of %d bytes", limit)
	}
	if int64(len(b.Prefix)) == b.ContentLength {
		return b, nil
	}
	b.Rest = r.Body
	b.remaining = limit - int64(len(b.Prefix))
	return b, nil
}

// firstPrefix is the size of the first buffer of a prefix. It is not reserved.
const firstPrefix = 4 << 10

var errMemoryShort = errors.New("no memory for the body")

// readPrefix reads up to size bytes.
func readPrefix(r io.Reader, size int64, reserve Reserve) ([]byte, error) {
	p := make([]byte, 0, min(size, firstPrefix))
	for int64(len(p)) < size {
		if len(p) == cap(p) {
			next := min(size, 2*int64(cap(p)))
			if reserve != nil && !reserve(corianderwing.Bytes(next)-corianderwing.Bytes(cap(p))) {
				return p, errMemoryShort
			}
			p = append(make([]byte, 0, next), p...)
		}
		n, err := r.Read(p[len(p):cap(p)])
		p = p[:len(p)+n]
		if err == io.EOF {
			return p, nil
		}
		if err != nil {
			return p, err
		}
	}
	return p, nil
}

// expectEOF reads the end of the body. Only after it does net/http detect that the
// caller closes the connection.
func expectEOF(r io.Reader) error {
	var buf [1]byte
	n, err := r.Read(buf[:])
	if n > 0 {
		return errors.New("body is longer than its Content-Length")
	}
	if err == io.EOF {
		return nil
	}
	return err
}

// BodyError returns the error for a body that is truncated or exceeds a limit.
func BodyError(err error, run corianderwing.Execution) *corianderwing.Error {
	return &corianderwing.Error{Code: corianderwing.BodyTruncated, Execution: run, Detail: err.Error()}
}

// contentLength returns the Content-Length to send, or -1 if it is unknown.
func (b *Body) contentLength() int64 { return b.ContentLength }

// CanReplay reports whether the body can still be sent from its beginning.
func (b *Body) CanReplay() bool { return b.Rest == nil || !b.RestSent }

// WriteTo writes the body. An error caused by the caller's side is a
// *corianderwing.Error.
func (b *Body) WriteTo(w io.Writer) (int64, error) {
	m, err := w.Write(b.Prefix)
	n := int64(m)
	if err != nil || b.Rest == nil {
		return n, err
	}
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for {
		m, err := b.Rest.Read(*buf)
		if b.remaining -= int64(m); b.remaining < 0 {
			return n, &corianderwing.Error{Code: corianderwing.BodyTooLarge, Execution: corianderwing.ExecutionUnknown, Detail: "body exceeds the limit"}
		}
		if err == io.EOF {
			// Set before the last part is sent, because the response may follow at once.
			// If the body has not been read to its end by then, its reads are aborted,
			// which would close the caller's connection.
			b.RestAtEOF.Store(true)
		}
		if m > 0 {
			k, werr := w.Write((*buf)[:m])
			n += int64(k)
			if werr != nil {
				return n, werr
			}
		}
		if err == io.EOF {
			return n, nil
		}
		if err != nil {
			return n, BodyError(err, corianderwing.ExecutionUnknown)
		}
	}
}
