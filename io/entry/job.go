package entry

import (
	"time"

	"corianderwing"
	"corianderwing/io/relay"
)

// job is a request to be sent to an upstream.
type job struct {
	id           corianderwing.RequestID
	workspace    corianderwing.WorkspaceID
	service      corianderwing.ServiceID
	route        corianderwing.RouteID
	pool         corianderwing.PoolID
	class        corianderwing.Class
	atMostOnce   bool
	attemptsLeft int
	hops         int
	deadline     time.Time
	maxWait      corianderwing.Millis

	method string
	uri    string
	host   string
	header []relay.HeaderField
	body   *relay.Body

	attempts          []corianderwing.Attempt
	excludedUpstreams []corianderwing.UpstreamID
}

// response is an upstream's response that is being forwarded to the caller. It
// must be read to the end or closed.
type response struct {
	*relay.Response
	onEnd      func(complete bool) // called at most once
	callerGone bool                // the caller did not read the whole response
}

// abandon closes a response whose caller stopped reading. This does not count
// as a failure of the upstream.
func (r *response) abandon(err error) error {
	r.callerGone = true
	r.close()
	return corianderwing.Errorf(corianderwing.CallerDisconnected, "%v", err)
}

// Read implements io.Reader.
func (r *response) Read(b []byte) (int, error) {
	n, err := r.Response.Read(b)
	if err != nil {
		r.end(isEOF(err))
	}
	return n, err
}

// close closes a response that is not read to the end.
func (r *response) close() {
	r.Discard()
	r.end(false)
}

func (r *response) end(complete bool) {
	if f := r.onEnd; f != nil {
		r.onEnd = nil
		f(complete)
	}
}
