package entry

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"corianderwing"
)

// headSize is the part of a request body that is read before anything is
// sent. A body within it can be sent again, and one that is truncated or over
// its limit is refused as not run.
const headSize = 64 << 10

// body is the body of a request. The head has been read from the caller; the
// rest is read while it is sent, and cannot be sent twice.
type body struct {
	head  []byte
	rest  io.Reader // nil if head is the whole body
	total int64     // -1 if unknown
	left  int64     // bytes of rest that the limit allows
	used  bool
	ended atomic.Bool // rest has been read to its end
}

// emptyBody is shared by requests without a body.
var emptyBody = &body{}

// readBody reads the first part of r's body, or all of it.
func readBody(r *http.Request, limit int64, all bool) (*body, *corianderwing.Error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return emptyBody, nil
	}
	if r.ContentLength > limit {
		return nil, corianderwing.Errorf(corianderwing.BigBody, "body has %d bytes, limit %d", r.ContentLength, limit)
	}
	most := limit
	if !all {
		most = min(limit, headSize)
	}
	b := &body{total: r.ContentLength}
	var err error
	if n := r.ContentLength; n >= 0 && n <= most {
		b.head = make([]byte, n)
		_, err = io.ReadFull(r.Body, b.head)
		if err == nil {
			err = expectEOF(r.Body)
		}
	} else {
		b.head, err = io.ReadAll(io.LimitReader(r.Body, most+1))
	}
	switch {
	case err != nil:
		return nil, cutBody(err, corianderwing.RanNo)
	case int64(len(b.head)) <= most:
		b.total = int64(len(b.head))
		return b, nil
	case int64(len(b.head)) > limit:
		return nil, corianderwing.Errorf(corianderwing.BigBody, "body is over its limit of %d bytes", limit)
	}
	if int64(len(b.head)) == b.total {
		return b, nil
	}
	b.rest = r.Body
	b.left = limit - int64(len(b.head))
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

func cutBody(err error, run corianderwing.Ran) *corianderwing.Error {
	return &corianderwing.Error{Code: corianderwing.CutBody, Run: run, Detail: err.Error()}
}

// size returns the length to announce, -1 if it is not known.
func (b *body) size() int64 { return b.total }

// replay reports whether the body can be sent (again).
func (b *body) replay() bool { return b.rest == nil || !b.used }

// WriteTo writes the body. An error of the caller's side is a
// *corianderwing.Error.
func (b *body) WriteTo(w io.Writer) (int64, error) {
	m, err := w.Write(b.head)
	n := int64(m)
	if err != nil || b.rest == nil {
		return n, err
	}
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for {
		m, err := b.rest.Read(*buf)
		if b.left -= int64(m); b.left < 0 {
			return n, &corianderwing.Error{Code: corianderwing.BigBody, Run: corianderwing.RanUnknown, Detail: "body is over its limit"}
		}
		if err == io.EOF {
			// Before the last part is sent: the answer may follow at once, and
			// a body that has not ended then gets its reads cut off, which
			// would end the caller's connection.
			b.ended.Store(true)
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
			return n, cutBody(err, corianderwing.RanUnknown)
		}
	}
}
