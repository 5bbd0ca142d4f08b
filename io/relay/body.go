package relay

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"corianderwing"
)

// PrefixSize is the part of a request body that is read before anything is
// sent. A body within it can be sent again, and one that is truncated or over
// its limit is refused as not run.
const PrefixSize = 64 << 10

// Body is the body of a request. Head has been read from the caller; Rest
// is read while it is sent, and cannot be sent twice.
type Body struct {
	Prefix        []byte
	Rest          io.Reader   // nil if Head is the whole body
	ContentLength int64       // -1 if unknown
	RestSent      bool        // a part of Rest was sent
	RestAtEOF     atomic.Bool // Rest has been read to its end
	remaining     int64       // bytes of Rest that the limit allows
}

// NoBody is shared by requests without a body.
var NoBody = &Body{}

// ReadBody reads the first part of r's body, or all of it.
func ReadBody(r *http.Request, limit int64, all bool) (*Body, *corianderwing.Error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return NoBody, nil
	}
	if r.ContentLength > limit {
		return nil, corianderwing.Errorf(corianderwing.BigBody, "body has %d bytes, limit %d", r.ContentLength, limit)
	}
	readLimit := limit
	if !all {
		readLimit = min(limit, PrefixSize)
	}
	b := &Body{ContentLength: r.ContentLength}
	var err error
	if n := r.ContentLength; n >= 0 && n <= readLimit {
		b.Prefix = make([]byte, n)
		_, err = io.ReadFull(r.Body, b.Prefix)
		if err == nil {
			err = expectEOF(r.Body)
		}
	} else {
		b.Prefix, err = io.ReadAll(io.LimitReader(r.Body, readLimit+1))
	}
	switch {
	case err != nil:
		return nil, BodyError(err, corianderwing.RanNo)
	case int64(len(b.Prefix)) <= readLimit:
		b.ContentLength = int64(len(b.Prefix))
		return b, nil
	case int64(len(b.Prefix)) > limit:
		return nil, corianderwing.Errorf(corianderwing.BigBody, "body is over its limit of %d bytes", limit)
	}
	if int64(len(b.Prefix)) == b.ContentLength {
		return b, nil
	}
	b.Rest = r.Body
	b.remaining = limit - int64(len(b.Prefix))
	return b, nil
}

// expectEOF lets the server see the end of the body, from which on it notices
// when the caller closes the connection.
func expectEOF(r io.Reader) error {
	var one [1]byte
	n, err := r.Read(one[:])
	if n > 0 {
		return errors.New("body is longer than announced")
	}
	if err == io.EOF {
		return nil
	}
	return err
}

// BodyError returns the error for a body that ended early or broke a limit.
func BodyError(err error, run corianderwing.Ran) *corianderwing.Error {
	return &corianderwing.Error{Code: corianderwing.CutBody, Run: run, Detail: err.Error()}
}

// contentLength returns the length to announce, -1 if it is not known.
func (b *Body) contentLength() int64 { return b.ContentLength }

// CanReplay reports whether the body can be sent (again).
func (b *Body) CanReplay() bool { return b.Rest == nil || !b.RestSent }

// WriteTo writes the body. An error of the caller's side is a
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
			return n, &corianderwing.Error{Code: corianderwing.BigBody, Run: corianderwing.RanUnknown, Detail: "body is over its limit"}
		}
		if err == io.EOF {
			// Before the last part is sent: the answer may follow at once, and
			// a body that has not ended then gets its reads cut off, which
			// would end the caller's connection.
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
			return n, BodyError(err, corianderwing.RanUnknown)
		}
	}
}
