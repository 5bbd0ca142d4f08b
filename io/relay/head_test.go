package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"corianderwing"
)

// endingConn is a connection whose end is reported as another error.
type endingConn struct {
	net.Conn
	end error
}

func (c *endingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = c.end
	}
	return n, err
}

// newEndingPool returns a ConnPool to a peer that answers as many requests as there
// are responses on one connection, and then closes it. Its end is reported as end.
func newEndingPool(end error, responses ...string) *ConnPool {
	p := newPipePool(func(c net.Conn, br *bufio.Reader) {
		for _, text := range responses {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			io.Copy(io.Discard, r.Body)
			io.WriteString(c, text)
		}
	})
	dial := p.Dial
	p.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := dial(ctx, addr)
		return &endingConn{c, end}, err
	}
	return p
}

// sampleResponse is a whole response, as the peer writes it.
type sampleResponse struct {
	text     string
	body     string
	closeEnd bool // delimited by the end of the connection
}

// head returns the size of the header.
func (s *sampleResponse) head() int {
	if n := strings.Index(s.text, "\r\n\r\n"); n >= 0 {
		return n + 4
	}
	return strings.Index(s.text, "\n\n") + 2
}

// sampleResponses covers every framing.
func sampleResponses() map[string]sampleResponse {
	const ok = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Type: text/plain\r\n"
	body := strings.Repeat("0123456789", 123) + "abcd"
	long := strings.Repeat("0123456789", 1000)
	interim := "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	chunks := "Transfer-Encoding: chunked\r\n\r\n" + "10;name=\"v\"\r\n0123456789abcdef\r\n" + "4\r\nxyz!\r\n"
	return map[string]sampleResponse{
		"length":                   {ok + length + body, body, false},
		"length first":             {"HTTP/1.1 200 OK\r\n" + strings.TrimSuffix(length, "\r\n") + "X-Id: a\r\nX-Other: b\r\n\r\n" + body, body, false},
		"length, bare LF":          {strings.ReplaceAll(ok+length, "\r\n", "\n") + body, body, false},
		"length, long body":        {ok + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(long)) + long, long, false},
		"length 0":                 {ok + "Content-Length: 0\r\n\r\n", "", false},
		"no content":               {"HTTP/1.1 204 No Content\r\nX-Id: a\r\n\r\n", "", false},
		"chunked":                  {ok + chunks + "0\r\n\r\n", "0123456789abcdefxyz!", false},
		"chunked, trailers":        {ok + "Trailer: X-Sum\r\n" + chunks + "0\r\nX-Sum: 12\r\nX-More: 3\r\n\r\n", "0123456789abcdefxyz!", false},
		"no length":                {ok + "\r\n" + body, body, true},
		"HTTP/1.0":                 {strings.Replace(ok, "HTTP/1.1", "HTTP/1.0", 1) + "\r\n" + body, body, true},
		"after interim":            {interim + ok + length + body, body, false},
		"no length, after interim": {interim + ok + "\r\n" + body, body, true},
	}
}

// cutOffsets returns every offset in the header and around the ends of a response,
// and some in a long body.
func cutOffsets(s *sampleResponse) []int {
	var list []int
	for n := range s.text {
		if n < s.head()+60 || n%97 == 0 || n > len(s.text)-60 {
			list = append(list, n)
		}
	}
	return list
}

// sendOver sends a request over a pool and returns the whole response body, or false
// if there is an error that the caller of Send or the reader of the body sees.
func sendOver(t *testing.T, p *ConnPool) (string, bool) {
	t.Helper()
	c := newCall(p, "a")
	c.AllowCloseDelimited, c.FirstByteDeadline = true, time.Now().Add(time.Minute)
	resp, e := Send(t.Context(), c)
	if e != nil {
		if e.Execution == corianderwing.NotExecuted {
			t.Errorf("a request that was sent is called not run: %v", e)
		}
		return "", false
	}
	body, err := io.ReadAll(resp)
	if err != nil {
		resp.Discard()
	}
	return string(body), err == nil
}

// Guards against taking a response that breaks off, in its header, in a chunk or in a
// trailer, for a complete one with an empty or short body: cut at every offset, on a
// new and on a kept connection, by a close and by a reset. Only a response without a
// length, whose header is complete, may end with a close.
func TestCutResponseIsNeverComplete(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nok"
	for name, s := range sampleResponses() {
		for _, end := range []error{io.EOF, syscall.ECONNRESET} {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%v/kept %v", name, end, kept), func(t *testing.T) {
					for _, n := range append(cutOffsets(&s), len(s.text)) {
						responses := []string{s.text[:n]}
						if kept {
							responses = []string{whole, s.text[:n]}
						}
						p := newEndingPool(end, responses...)
						if kept {
							if got, ok := sendOver(t, p); !ok || got != "ok" {
								t.Fatalf("first response: %q, %v", got, ok)
							}
						}
						got, ok := sendOver(t, p)
						want := n == len(s.text)
						if s.closeEnd {
							want = end == io.EOF && n >= strings.LastIndex(s.text, "\r\n\r\n")+4
						}
						if ok != want {
							t.Errorf("cut after %d of %d bytes, %q: complete %v, want %v", n, len(s.text), s.text[max(0, n-20):n], ok, want)
						}
						if ok && !s.closeEnd && got != s.body || !strings.HasPrefix(s.body, got) {
							t.Errorf("cut after %d bytes: body has %d bytes", n, len(got))
						}
						if p.Idle() > 0 && !ok {
							t.Errorf("cut after %d bytes: the connection is kept", n)
						}
						p.Reset()
					}
				})
			}
		}
	}
}

// Guards against a header whose framing can be read in two ways: the response must
// fail, or have the body that its length says.
func TestAmbiguousFraming(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nX-Id: a\r\n"
	for name, c := range map[string]struct {
		text string
		want string // the body; "cut" for an error
	}{
		"two lengths":                {ok + "Content-Length: 2\r\nContent-Length: 4\r\n\r\nbody", "cut"},
		"two lengths on a line":      {ok + "Content-Length: 2, 4\r\n\r\nbody", "cut"},
		"the same length twice":      {ok + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody", "body"},
		"length with a sign":         {ok + "Content-Length: +4\r\n\r\nbody", "cut"},
		"negative length":            {ok + "Content-Length: -4\r\n\r\nbody", "cut"},
		"length in hexadecimal":      {ok + "Content-Length: 0x4\r\n\r\nbody", "cut"},
		"length without digits":      {ok + "Content-Length: \r\n\r\nbody", "cut"},
		"length beyond 64 bits":      {ok + "Content-Length: 99999999999999999999\r\n\r\nbody", "cut"},
		"length broken by CR":        {ok + "Content-Length: 2\r4\r\n\r\nbody", "cut"},
		"length folded":              {ok + "Content-Length: 2\r\n 4\r\n\r\nbody", "cut"},
		"length and chunks":          {ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "body"},
		"length, chunks broken off":  {ok + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo", "cut"},
		"chunked twice":              {ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "cut"},
		"gzip, chunked":              {ok + "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "cut"},
		"unknown coding":             {ok + "Transfer-Encoding: cow\r\n\r\nbody", "cut"},
		"line without colon":         {ok + "Content-Length 4\r\n\r\nbody", "cut"},
		"space before colon":         {ok + "Content-Length : 4\r\n\r\nbody", "cut"},
		"space before colon, short":  {ok + "Content-Length : 1234\r\n\r\nbody", "cut"},
		"space in name":              {ok + "Content Length: 1234\r\n\r\nbody", "cut"},
		"space before name":          {"HTTP/1.1 200 OK\r\n X-Id: a\r\nContent-Length: 4\r\n\r\nbody", "cut"},
		"chunk size with a sign":     {ok + "Transfer-Encoding: chunked\r\n\r\n+4\r\nbody\r\n0\r\n\r\n", "cut"},
		"chunk size too large":       {ok + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nbody", "cut"},
		"chunk longer than its size": {ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nbody\r\n0\r\n\r\n", "cut"},
		"lines end with CR":          {strings.ReplaceAll(ok, "\r\n", "\r") + "Content-Length: 4\r\rbody", "cut"},
	} {
		t.Run(name, func(t *testing.T) {
			got, complete := sendOver(t, newEndingPool(io.EOF, c.text))
			if !complete {
				got = "cut"
			}
			if got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
