package relay

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"corianderwing"
)

// HeadSize is the part of a request body that is read before anything is
// sent. A body within it can be sent again, and one that is truncated or over
// its limit is refused as not run.
const HeadSize = 64 << 10

// Body is the body of a request. Head has been read from the caller; Rest
// is read while it is sent, and cannot be sent twice.
type Body struct {
	Head  []byte
	Rest  io.Reader   // nil if Head is the whole body
	Total int64       // -1 if unknown
	Used  bool        // a part of Rest was sent
	Ended atomic.Bool // Rest has been read to its end
	left  int64       // bytes of Rest that the limit allows
}

// Empty is shared by requests without a body.
var Empty = &Body{}

// Read reads the first part of r's body, or all of it.
func Read(r *http.Request, limit int64, all bool) (*Body, *corianderwing.Error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return Empty, nil
	}
	if r.ContentLength > limit {
		return nil, corianderwing.Errorf(corianderwing.BodyTooLarge, "body has %d bytes, limit %d", r.ContentLength, limit)
	}
	most := limit
	if !all {
		most = min(limit, HeadSize)
	}
	b := &Body{Total: r.ContentLength}
	var err error
	if n := r.ContentLength; n >= 0 && n <= most {
		b.Head = make([]byte, n)
		_, err = io.ReadFull(r.Body, b.Head)
		if err == nil {
			err = expectEOF(r.Body)
		}
	} else {
		b.Head, err = io.ReadAll(io.LimitReader(r.Body, most+1))
	}
	switch {
	case err != nil:
		return nil, CutBody(err, corianderwing.NotExecuted)
	case int64(len(b.Head)) <= most:
		b.Total = int64(len(b.Head))
		return b, nil
	case int64(len(b.Head)) > limit:
		return nil, corianderwing.Errorf(corianderwing.BodyTooLarge, "body is over its limit of %d bytes", limit)
	}
	if int64(len(b.Head)) == b.Total {
		return b, nil
	}
	b.Rest = r.Body
	b.left = limit - int64(len(b.Head))
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

// CutBody returns the error for a body that ended early or broke a limit.
func CutBody(err error, run corianderwing.Execution) *corianderwing.Error {
	return &corianderwing.Error{Code: corianderwing.BodyTruncated, Execution: run, Detail: err.Error()}
}

// size returns the length to announce, -1 if it is not known.
func (b *Body) size() int64 { return b.Total }

// Replay reports whether the body can be sent (again).
func (b *Body) Replay() bool { return b.Rest == nil || !b.Used }

// WriteTo writes the body. An error of the caller's side is a
// *corianderwing.Error.
func (b *Body) WriteTo(w io.Writer) (int64, error) {
	m, err := w.Write(b.Head)
	n := int64(m)
	if err != nil || b.Rest == nil {
		return n, err
	}
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for {
		m, err := b.Rest.Read(*buf)
		if b.left -= int64(m); b.left < 0 {
			return n, &corianderwing.Error{Code: corianderwing.BodyTooLarge, Execution: corianderwing.ExecutionUnknown, Detail: "body is over its limit"}
		}
		if err == io.EOF {
			// Before the last part is sent: the answer may follow at once, and
			// a body that has not ended then gets its reads cut off, which
			// would end the caller's connection.
			b.Ended.Store(true)
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
			return n, CutBody(err, corianderwing.ExecutionUnknown)
		}
	}
}
