package peer

import (
	"bytes"
	"context"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serveLimited runs a server that allows two connections before their first call.
func serveLimited(t *testing.T) (*Server, string) {
	t.Helper()
	s := NewServer([]byte("s"), WithMaxHandshakes(2))
	Handle(s, double, func(_ context.Context, a *request) (*response, error) { return &response{N: 2 * a.N}, nil })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	t.Cleanup(s.Stop)
	return s, l.Addr().String()
}

// dial connects and sends text.
func dial(t *testing.T, addr string, text []byte) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(time.Minute))
	_, _ = c.Write(text) // the server may close the connection before it has read all
	return c
}

// waitClosed reads until the server closes the connection.
func waitClosed(t *testing.T, c net.Conn) {
	t.Helper()
	buf := make([]byte, 1<<10)
	for {
		_, err := c.Read(buf)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal("the connection was not closed")
		}
		if err != nil {
			return
		}
	}
}

// Guards against connections without the fleet token that take all descriptors, and
// against closing those of instances in their place.
func TestTooManyHandshakes(t *testing.T) {
	is := is.New(t)
	s, addr := serveLimited(t)
	c := NewClient([]byte("s"))
	defer c.Close()
	_, err := Call(t.Context(), c, addr, double, &request{N: 1})
	is.NoErr(err)
	first := dial(t, addr, nil)
	for range 4 {
		dial(t, addr, []byte(clientPreface))
	}
	waitClosed(t, first)
	_, err = Call(t.Context(), c, addr, double, &request{N: 1})
	is.NoErr(err)
	other := NewClient([]byte("s"))
	defer other.Close()
	_, err = Call(t.Context(), other, addr, double, &request{N: 1})
	is.NoErr(err)
	is.True(s.NumClosed() >= 3)
}

// Guards against a header list without end that the process keeps: 16 MB each.
func TestTooManyHandshakeBytes(t *testing.T) {
	_, addr := serveLimited(t)
	header := []byte{0, 0, 2, 1, 0, 0, 0, 0, 1, 0, 0}
	continuation := append([]byte{0, 4, 0, 9, 0, 0, 0, 0, 1}, bytes.Repeat([]byte{0, 1, 'a', 0}, 256)...)
	text := append([]byte(clientPreface+"\x00\x00\x00\x04\x00\x00\x00\x00\x00"), header...)
	waitClosed(t, dial(t, addr, append(text, bytes.Repeat(continuation, 2*maxHandshakeBytes/1024)...)))
}

// Guards against clients of another protocol that take the buffers of a connection.
func TestNotAConnectionOfHTTP2(t *testing.T) {
	is := is.New(t)
	s, addr := serveLimited(t)
	waitClosed(t, dial(t, addr, []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")))
	is.Equal(s.NumClosed(), int64(1))
}

// Guards against a client with a wrong token that makes calls for ever.
func TestRefusedCallsCloseTheConnection(t *testing.T) {
	is := is.New(t)
	s, addr := serveLimited(t)
	c := NewClient([]byte("other"))
	defer c.Close()
	for range maxRefusedCalls {
		_, err := Call(t.Context(), c, addr, double, &request{N: 1})
		is.True(err != nil)
	}
	is.Equal(s.NumClosed(), int64(1))
}

// Guards against one address whose connections displace those of instances elsewhere
// that need longer for their first call.
func TestHandshakesOfOneAddressGiveWayFirst(t *testing.T) {
	is := is.New(t)
	_, addr := serveLimited(t)
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	slow, err := d.Dial("tcp", addr)
	is.NoErr(err)
	defer slow.Close()
	slow.SetDeadline(time.Now().Add(time.Minute))
	var crowd []net.Conn
	for range 4 {
		crowd = append(crowd, dial(t, addr, nil))
	}
	for _, c := range crowd[:3] {
		waitClosed(t, c)
	}
	_, err = slow.Write([]byte(clientPreface + "\x00\x00\x00\x04\x00\x00\x00\x00\x00"))
	is.NoErr(err)
	_, err = slow.Read(make([]byte, 9)) // the settings of the server
	is.NoErr(err)
}
