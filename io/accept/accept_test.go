package accept

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// serve runs a server on a wrapped listener and returns a connection to it.
func serve(t *testing.T, h http.HandlerFunc) net.Conn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h, ConnContext: ConnContext, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Serve(Wrap(l))
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(time.Minute))
	t.Cleanup(func() {
		c.Close()
		s.Close()
		<-done
	})
	return c
}

func request(n int) string { return fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", n) }

// readPath reads a response whose body is the path of its request.
func readPath(t *testing.T, r *bufio.Reader) (path string, resp *http.Response) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body), resp
}

func echoPath(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	io.WriteString(w, r.URL.Path)
}

// Guards against upstreams that work for a caller that has left: with a further
// request in flight, the server did not notice the disconnect.
func TestDisconnectBehindPipelinedRequest(t *testing.T) {
	is := is.New(t)
	started, ended := make(chan string, 8), make(chan error, 8)
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		started <- r.URL.Path
		<-r.Context().Done()
		ended <- context.Cause(r.Context())
	})
	io.WriteString(c, request(1))
	is.Equal(<-started, "/1")
	io.WriteString(c, request(2)) // a segment of its own, after the first request has begun
	io.WriteString(c, request(3))
	time.Sleep(10 * time.Millisecond) // lets the server read them; only the close must be noticed after that
	c.Close()
	select {
	case err := <-ended:
		is.True(err != nil)
	case <-time.After(20 * time.Second):
		t.Fatal("the disconnect was not noticed")
	}
}

// Guards against closing a connection between pipelined requests: the deadline with
// which the server ends its own read also ended the read-ahead, whose error was kept
// behind the bytes read before it and returned after the server had reset the deadline.
func TestExpiredDeadlineIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := net.Pipe()
		defer b.Close()
		c := newConn(a)
		defer c.Close()
		read := func(n int) string {
			p := make([]byte, n)
			n, err := c.Read(p)
			is.NoErr(err)
			return string(p[:n])
		}
		go b.Write([]byte("x"))
		is.Equal(read(1), "x") // starts the read-ahead
		b.Write([]byte("abc"))
		synctest.Wait()
		c.SetReadDeadline(time.Now().Add(-time.Second))
		synctest.Wait()
		c.SetReadDeadline(time.Time{})
		is.Equal(read(8), "abc")
		go b.Write([]byte("d"))
		is.Equal(read(8), "d")
	})
}

// Guards against responses out of order, lost or doubled requests, and bodies
// taken for requests when a caller sends many at once; the first is the slowest.
func TestPipelinedRequestsInOrder(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/0" {
			<-release
		}
		echoPath(w, r)
	})
	const n = 10_000 // far more than is read ahead
	go func() {
		for i := range n {
			if i%10 == 3 {
				fmt.Fprintf(c, "POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 20\r\n\r\nGET /x HTTP/1.1\r\n\r\n\n", i)
				continue
			}
			io.WriteString(c, request(i))
		}
	}()
	time.AfterFunc(20*time.Millisecond, func() { close(release) })
	r := bufio.NewReader(c)
	for i := range n {
		path, _ := readPath(t, r)
		is.Equal(path, fmt.Sprintf("/%d", i))
	}
}

// Guards against running a request behind a response that closes the connection:
// its caller sends it again, whatever its kind.
func TestRequestBehindClosingResponse(t *testing.T) {
	is := is.New(t)
	var handled atomic.Int32
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		if r.URL.Path == "/1" {
			w.Header().Set("Connection", "close")
		}
		echoPath(w, r)
	})
	io.WriteString(c, request(0)+request(1)+request(2)+strings.Replace(request(3), "GET", "POST", 1))
	r := bufio.NewReader(c)
	readPath(t, r)
	path, resp := readPath(t, r)
	is.Equal(path, "/1")
	is.True(resp.Close)
	_, err := r.ReadByte()
	is.True(err != nil) // the connection ends
	is.Equal(handled.Load(), int32(2))
}

// Guards against answering requests behind one that cannot be read: their
// beginning is unknown.
func TestMalformedRequestInTheMiddle(t *testing.T) {
	is := is.New(t)
	var handled atomic.Int32
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		echoPath(w, r)
	})
	io.WriteString(c, request(0)+"GET nonsense\r\n\r\n"+request(2))
	r := bufio.NewReader(c)
	readPath(t, r)
	_, resp := readPath(t, r)
	is.Equal(resp.StatusCode, http.StatusBadRequest)
	_, err := r.ReadByte()
	is.True(err != nil)
	is.Equal(handled.Load(), int32(1))
}

// Guards against unbounded memory: a caller that never stops sending is not read
// beyond maxReadAhead while its first request runs.
func TestReadAheadIsBounded(t *testing.T) {
	is := is.New(t)
	a, b := net.Pipe()
	defer b.Close()
	c := newConn(a)
	defer c.Close()
	go b.Write([]byte("x"))
	one := make([]byte, 1)
	_, err := c.Read(one)
	is.NoErr(err)
	sent := 0
	chunk := make([]byte, 1<<10)
	b.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	for err == nil {
		var n int
		n, err = b.Write(chunk)
		sent += n
	}
	is.True(sent <= maxReadAhead+4<<10)
	b.SetWriteDeadline(time.Time{})
	for got := 0; got < sent; {
		n, err := c.Read(chunk)
		is.NoErr(err)
		got += n
	}
	go b.Write([]byte("y"))
	n, err := c.Read(chunk)
	is.NoErr(err)
	is.Equal(string(chunk[:n]), "y")
}
