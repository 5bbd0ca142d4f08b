package relay

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// Guards against a status that is none (MIXED): 000 and others below 100 are neither
// final nor interim, and what follows them is no response either.
func TestStatusBelow100IsNoResponse(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\n\r\nother"
	for _, status := range []string{"000", "000 OK", "001 Early", "042 No", "099 Almost", "-00 Minus", "+99 Plus"} {
		for name, text := range map[string]string{
			"alone":                  "HTTP/1.1 " + status + "\r\nX-Id: a\r\nContent-Length: 4\r\n\r\nbody",
			"without a length":       "HTTP/1.1 " + status + "\r\nX-Id: a\r\n\r\nbody",
			"before a response":      "HTTP/1.1 " + status + "\r\n\r\n" + whole,
			"with a body before one": "HTTP/1.1 " + status + "\r\nX-Id: a\r\nContent-Length: 4\r\n\r\nbody" + whole,
			"its body looks like one": "HTTP/1.1 " + status + "\r\nX-Id: a\r\nContent-Length: 62\r\n\r\n" +
				whole,
			"after an interim response": "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 " + status + "\r\n\r\n" + whole,
		} {
			t.Run(status+"/"+name, func(t *testing.T) { refusesResponse(t, text) })
		}
	}
}

// refusesResponse checks that a response is refused as one that may have run, and that
// its connection is not used again.
func refusesResponse(t *testing.T, text string) {
	t.Helper()
	is := is.New(t)
	p := newEndingPool(io.EOF, text)
	c := newCall(p, "a")
	c.AllowCloseDelimited, c.MaxForeignResponses, c.FirstByteDeadline = true, 2, time.Now().Add(time.Minute)
	resp, e := Send(t.Context(), c)
	if e == nil {
		body, err := io.ReadAll(resp)
		resp.Discard()
		if err == nil {
			t.Fatalf("taken for a response: status %d, header %v, body %q", resp.StatusCode, resp.Header, body)
		}
	} else {
		is.True(e.Execution == corianderwing.ExecutionUnknown)
	}
	is.Equal(p.Idle(), 0)
}
