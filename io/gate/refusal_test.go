package gate

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"corianderwing/io/relay"
	"corianderwing/platform"
)

// answerLate is what a stand-in does with a request on a kept connection that has
// served or refused another one.
type answerLate func(c *standInConn, r *http.Request) (keep bool)

// afterRun runs the request and then closes the connection without an answer.
func afterRun(c *standInConn, r *http.Request) bool {
	c.record(r)
	return false
}

// staleRefusals are refusals that belong to no request or to an earlier one, each
// followed by the truth about the request.
var staleRefusals = map[string]answerLate{
	"id of the earlier request": func(c *standInConn, r *http.Request) bool {
		c.refuse("503 Service Unavailable", "X-Request-Id: "+c.first+"\r\n")
		c.run(r)
		return true
	},
	"twice": func(c *standInConn, r *http.Request) bool {
		c.refuse("503 Service Unavailable", "X-Request-Id: "+c.first+"\r\n")
		c.refuse("429 Too Many Requests", "X-Request-Id: "+c.first+"\r\n")
		c.run(r)
		return true
	},
	"three times": func(c *standInConn, r *http.Request) bool {
		for range 3 {
			c.refuse("503 Service Unavailable", "X-Request-Id: "+c.first+"\r\n")
		}
		c.run(r)
		return true
	},
	"no id": func(c *standInConn, r *http.Request) bool {
		c.refuse("503 Service Unavailable", "")
		c.run(r)
		return true
	},
	"empty id": func(c *standInConn, r *http.Request) bool {
		c.refuse("400 Bad Request", "X-Request-Id: \r\n")
		c.run(r)
		return true
	},
	"both ids": func(c *standInConn, r *http.Request) bool {
		c.refuse("503 Service Unavailable", "X-Request-Id: "+c.first+"\r\nX-Request-Id: "+r.Header.Get("X-Request-Id")+"\r\n")
		c.run(r)
		return true
	},
	"both ids on one line": func(c *standInConn, r *http.Request) bool {
		c.refuse("503 Service Unavailable", "X-Request-Id: "+c.first+", "+r.Header.Get("X-Request-Id")+"\r\n")
		c.run(r)
		return true
	},
	"misdirected": func(c *standInConn, r *http.Request) bool {
		c.refuse("421 Misdirected Request", "X-Request-Id: "+c.first+"\r\n")
		c.run(r)
		return true
	},
	"close notice": func(c *standInConn, r *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 408 Request Timeout\r\n"+platform.HeaderNotExecuted+": idle\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return afterRun(c, r)
	},
	"close notice without length": func(c *standInConn, r *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\n"+platform.HeaderNotExecuted+": leaving\r\n\r\n")
		return afterRun(c, r)
	},
	"then the end": func(c *standInConn, r *http.Request) bool {
		c.refuse("503 Service Unavailable", "X-Request-Id: "+c.first+"\r\n")
		return afterRun(c, r)
	},
	"longer than its length": func(c *standInConn, r *http.Request) bool {
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\n"+platform.HeaderNotExecuted+": full\r\nContent-Length: 2\r\n\r\nfull", c.first)
		c.run(r)
		return true
	},
	"answer and refusal": func(c *standInConn, r *http.Request) bool {
		c.run(r)
		c.refuse("503 Service Unavailable", "X-Request-Id: "+r.Header.Get("X-Request-Id")+"\r\n")
		return true
	},
}

// bodySizes are sizes of request bodies that are sent in different ways. A refusal may
// arrive before a large body has been sent.
var bodySizes = map[int]string{10: "small body", 40 << 10: "large body", 200 << 10: "streamed body"}

// Guards against a refusal of an earlier request, or of none, that a faulty upstream
// writes once more on a kept connection: it must not count as the refusal of a
// request that the upstream runs, which would then be refused as not run or run at a
// second upstream.
func TestStaleRefusalProvesNothing(t *testing.T) {
	for name, answer := range staleRefusals {
		for size, part := range bodySizes {
			t.Run(name+", "+part, func(t *testing.T) { testStaleRefusal(t, answer, size) })
		}
	}
}

// testStaleRefusal sends requests that must not run twice to an upstream that answers
// every second request on a connection with answer, and to a second, sound upstream.
func testStaleRefusal(t *testing.T, answer answerLate, size int) {
	t.Helper()
	order := strings.Repeat("x", size)
	faulty := newStandIn(t, func(c *standInConn, r *http.Request) bool {
		if c.n == 1 {
			c.run(r)
			return true
		}
		return answer(c, r)
	})
	sound := newStandIn(t, func(c *standInConn, r *http.Request) bool {
		c.run(r)
		return true
	})
	base := newStandInGate(t, faulty, sound)
	for i := range 6 {
		id := fmt.Sprint("q-", i)
		status, body := call(base, "/once/1", id, order)
		runs := faulty.ran(id) + sound.ran(id)
		if runs > 1 {
			t.Errorf("%s ran %d times", id, runs)
		}
		switch status {
		case http.StatusOK:
			if body != "own" || runs != 1 {
				t.Errorf("%s: got %q after %d runs", id, body, runs)
			}
		case http.StatusBadGateway, http.StatusGatewayTimeout, 0:
		default:
			t.Errorf("%s: got status %d after %d runs: %s", id, status, runs, body)
		}
	}
	if faulty.connections() == 6 {
		t.Error("no connection was kept, so nothing was tested")
	}
}

// Guards against treating a refusal that is the request's own as an unknown outcome:
// the request is sent to another upstream.
func TestOwnRefusalIsRetried(t *testing.T) {
	full := newStandIn(t, func(c *standInConn, r *http.Request) bool {
		c.refuse("503 Service Unavailable", "X-Request-Id: "+r.Header.Get("X-Request-Id")+"\r\n")
		return true
	})
	sound := newStandIn(t, func(c *standInConn, r *http.Request) bool {
		c.run(r)
		return true
	})
	for size, part := range bodySizes {
		base := newStandInGate(t, full, sound) // with a retry budget of its own
		id := fmt.Sprint("q-", size)
		status, body := call(base, "/once/1", id, strings.Repeat("x", size))
		streamed := size > relay.PrefixSize // and so cannot be sent again
		if ok := status == http.StatusOK && body == "own" && sound.ran(id) == 1; ok == streamed {
			t.Errorf("%s: got status %d after %d runs: %s", part, status, sound.ran(id), body)
		}
		if streamed && (status != http.StatusServiceUnavailable || sound.ran(id) != 0) {
			t.Errorf("%s: got status %d after %d runs: %s", part, status, sound.ran(id), body)
		}
	}
	base := newStandInGate(t, full)
	if status, body := call(base, "/once/1", "q-2", "order"); status != http.StatusServiceUnavailable {
		t.Errorf("got status %d: %s", status, body)
	}
}

// Guards against a refusal that breaks off in its head, in front of the answer to the
// request: read as one head, they have the ID of the request and the status or the
// refusal of the earlier one.
func TestBrokenRefusalBeforeAnswer(t *testing.T) {
	for _, broken := range []string{
		"HTTP/1.1 503 ",
		"HTTP/1.1 503 Service Unav",
		"HTTP/1.1 503 Service Unavailable\r\n" + platform.HeaderNotExecuted + ": ",
		"HTTP/1.1 503 Service Unavailable\r\n" + platform.HeaderNotExecuted + ": fu",
		"HTTP/1.1 503 Service Unavailable\r\n" + platform.HeaderNotExecuted + ": full\r\nRetry-After: 1",
		"HTTP/1.1 429 Too Many Requests\r\n" + platform.HeaderNotExecuted + ": full\r\nX-A: \t",
		"HTTP/1.1 429 Too Many Requests\r\n" + platform.HeaderNotExecuted + ": full\r\n",
		"HTTP/1.1 429 Too Many Requests\r\n" + platform.HeaderNotExecuted + ": full\r",
		"HTTP/1.1 429 Too Many Requests\r\n" + platform.HeaderNotExecuted,
	} {
		t.Run(broken, func(t *testing.T) {
			testStaleRefusal(t, func(c *standInConn, r *http.Request) bool {
				io.WriteString(c, broken)
				c.run(r)
				return true
			}, 10)
		})
	}
}

// Guards against a refusal that is taken for that of a request without an ID: on a
// kept connection, nothing tells for which of two such requests it was written. Such a
// request is refused before it reaches an upstream.
func TestRequestWithoutIDTakesNoRefusal(t *testing.T) {
	faulty := newStandIn(t, func(c *standInConn, r *http.Request) bool {
		if c.n > 1 {
			c.refuse("503 Service Unavailable", "X-Request-Id: \r\n")
		}
		c.run(r)
		return true
	})
	sound := newStandIn(t, func(c *standInConn, r *http.Request) bool {
		c.run(r)
		return true
	})
	base := newStandInGate(t, faulty, sound)
	for i := range 4 {
		if status, body := call(base, "/once/1", "", "order"); status != http.StatusBadRequest || faulty.ran("")+sound.ran("") != 0 {
			t.Errorf("request %d: got status %d after %d runs in all: %s", i, status, faulty.ran("")+sound.ran(""), body)
		}
	}
}
