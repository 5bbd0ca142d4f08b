package gate

import (
	"corianderwing"
	"corianderwing/core/crash"
)

// checkCrash finds out whether the upstream crashed while it ran the request: the
// connection ended without a response, and new ones are refused. A connection alone
// also breaks for other reasons.
func (x *exchange) checkCrash(conns *upstreamConns, err *corianderwing.Error) {
	if err.Code != corianderwing.SendFailed {
		return
	}
	x.identify()
	x.attemptLog[len(x.attemptLog)-1].Crashed = conns.RefusesConnections(x.s.ctx)
}

// identify returns the fingerprint of the request.
func (x *exchange) identify() crash.Fingerprint {
	if x.fingerprint != "" {
		return x.fingerprint
	}
	r := crash.Request{Method: x.r.Method, Host: x.r.Host, URI: x.r.RequestURI, Body: x.body.Prefix, Length: x.body.ContentLength}
	if x.tenure != nil {
		r.Workspace = x.tenure.Name
	}
	x.fingerprint = r.Fingerprint()
	return x.fingerprint
}
