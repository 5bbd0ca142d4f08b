package load

import (
	"time"

	"corianderwing"
)

// bucket is one central token bucket with a workspace's agreed rate and
// burst. It judges what the system admitted and refused.
//
// An admitted request takes a token even if there is none. A refusal for rate
// while there is a token is wrongful, and takes the token that the request
// should have had. So the wrongful refusals are those by which the system
// falls short of the agreement, however the requests were ordered. The judge
// goes by the times at which requests were sent. Requests that reach the
// system in another order can add a wrongful refusal for each request that was
// overtaken, but only once: from then on the judge's level is lower than that
// of the system.
type bucket struct {
	rate  float64 // tokens per second
	burst float64
	level float64
	last  time.Duration
}

func newBucket(rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, level: burst}
}

// verdict is what the judge says about one request.
type verdict uint8

const (
	fair     verdict = iota
	wrongful         // refused for rate although inside it
	turned           // refused for another reason although inside the rate
)

// judge takes a request that was sent at the given time. Times must not go
// back.
func (b *bucket) judge(at time.Duration, o outcome) verdict {
	b.level = min(b.burst, b.level+b.rate*(at-b.last).Seconds())
	b.last = at
	switch {
	case o.code == corianderwing.RateExceeded || o.code == corianderwing.NoShare:
		if b.level < 1 {
			return fair
		}
		b.level--
		return wrongful
	case o.refused():
		inside := b.level >= 1
		if o.took() {
			b.level--
		}
		if inside {
			return turned
		}
	case o.took():
		b.level--
	}
	return fair
}

// refused reports whether the system refused the request without running it,
// for a reason that is not the caller's fault.
func (o outcome) refused() bool {
	return o.code >= 300 && o.code < 600 && o.run == corianderwing.NotExecuted
}

// took reports whether the request took a token of the workspace. Instances
// that are not fresh or are stopping refuse before they take one.
func (o outcome) took() bool {
	switch o.code {
	case corianderwing.RateExceeded, corianderwing.NoShare, corianderwing.StaleSettings, corianderwing.Stopping:
		return false
	}
	return o.code == corianderwing.OK || o.code == corianderwing.ReplayedResponse || o.code >= 300
}

// admitted reports whether the request surely was admitted. For refusals this
// depends on the order of the checks in an entry instance, so they do not
// count against it.
func (o outcome) admitted() bool {
	if o.code == corianderwing.OK || o.code == corianderwing.ReplayedResponse {
		return true
	}
	return o.code >= 500 && o.code < 600 && o.run != corianderwing.NotExecuted
}
