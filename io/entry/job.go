package entry

import (
	"time"

	"corianderwing"
	"corianderwing/io/relay"
)

// job is a request on its way to an upstream.
type job struct {
	id        corianderwing.RequestID
	workspace corianderwing.WorkspaceID
	service   corianderwing.ServiceID
	route     corianderwing.RouteID
	pool      corianderwing.PoolID
	class     corianderwing.Class
	once      bool
	tries     int // attempts left
	hops      int
	deadline  time.Time
	wait      corianderwing.Millis

	method string
	uri    string
	host   string
	header []relay.HeaderField
	body   *relay.Body

	attempts []corianderwing.Attempt
	tried    []corianderwing.UpstreamID
}

// reply is an upstream's answer on its way to the caller. Its reader must be
// read to the end or closed.
type reply struct {
	*relay.Response
	onEnd func(complete bool) // called once
	left  bool                // the caller did not take the whole answer
}

// unread ends a reply that the caller no longer takes, which is not the
// upstream's fault.
func (r *reply) unread(err error) error {
	r.left = true
	r.close()
	return corianderwing.Errorf(corianderwing.CallerDisconnected, "%v", err)
}

// Read implements io.Reader.
func (r *reply) Read(b []byte) (int, error) {
	n, err := r.Response.Read(b)
	if err != nil {
		r.end(isEOF(err))
	}
	return n, err
}

// close ends a reply that is not read to its end.
func (r *reply) close() {
	r.Discard()
	r.end(false)
}

func (r *reply) end(complete bool) {
	if f := r.onEnd; f != nil {
		r.onEnd = nil
		f(complete)
	}
}
