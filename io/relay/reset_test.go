package relay

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowReader is a body that its caller has not sent to its end yet.
type slowReader struct{ release chan struct{} }

func (r slowReader) Read([]byte) (int, error) {
	<-r.release
	return 0, io.EOF
}

// earlyServer answers each request without a length as soon as it has read its header,
// sends part of the body, and then ends the connection: by a reset, or in order.
type earlyServer struct {
	listener net.Listener
	reset    bool
	writing  chan struct{} // closed when the peer may end the connection
}

func (s *earlyServer) serve() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		head := make([]byte, 1)
		for tail := []byte(nil); !bytes.HasSuffix(tail, []byte("\r\n\r\n")); tail = append(tail, head...) {
			if _, err := c.Read(head); err != nil {
				break
			}
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\npart")
		<-s.writing
		if s.reset {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			continue
		}
		c.(*net.TCPConn).CloseWrite() // and reads on
		go io.Copy(io.Discard, c)
	}
}

// Guards against taking a part of a response for the whole (MIXED): an upstream answers
// an upload without a length and resets the connection, and the write of the upload gets
// the error of the reset, so that the read gets the end of the connection.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	for _, size := range []int{PrefixSize, 1 << 20, 16 << 20} {
		for _, reset := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d bytes, reset %v", size, reset), func(t *testing.T) {
				is := is.New(t)
				l, err := net.Listen("tcp", "127.0.0.1:0")
				is.NoErr(err)
				defer l.Close()
				s := &earlyServer{listener: l, reset: reset, writing: make(chan struct{})}
				go s.serve()
				p := &ConnPool{Addr: l.Addr().String(), Dial: TCPDialer(nil), MaxIdle: 1}
				defer p.Close()
				c := newCall(p, "a")
				c.Method, c.AllowCloseDelimited, c.FirstByteDeadline = http.MethodPost, true, time.Now().Add(time.Minute)
				// A body that is never complete, so that it is being written throughout.
				upload := slowReader{make(chan struct{})}
				defer close(upload.release)
				c.Body = &Body{Prefix: make([]byte, size), Rest: upload, ContentLength: int64(size) + 1}
				resp, e := Send(t.Context(), c)
				is.True(e == nil)
				close(s.writing)
				if reset {
					// As a write of the upload would at this moment.
					for resp.conn.sentUntilReset() {
						time.Sleep(time.Millisecond)
					}
				}
				got, err := io.ReadAll(resp)
				is.Equal(string(got), "part")
				is.Equal(err != nil, reset)
				resp.Discard()
				is.Equal(p.Idle(), 0)
			})
		}
	}
}

// sentUntilReset writes a byte to the socket, and reports whether that succeeded.
func (c *conn) sentUntilReset() bool {
	_, err := c.Conn.Write([]byte("x"))
	return err == nil
}
