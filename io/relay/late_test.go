package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pausingWriter is a writer whose process is paused after a write.
type pausingWriter struct {
	io.Writer
	pause func()
}

func (w pausingWriter) Write(b []byte) (int, error) {
	n, err := w.Writer.Write(b)
	w.pause()
	return n, err
}

// Guards against responses that are dropped, and upstreams that are taken for silent,
// because the entry instance itself was paused: the response had arrived when its
// deadline passed, but was not read.
func TestResponseDuringPause(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	answered := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		br := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(br); err != nil {
				return
			}
			writeResponse(c, "a", "", "own")
			answered <- struct{}{}
		}
	}()
	h := &ConnPool{Addr: l.Addr().String(), Dial: TCPDialer(nil), MaxIdle: 1}
	for range 20 {
		c := newCall(h, "a")
		c.FirstByteDeadline = time.Now().Add(time.Hour)
		c.WrapWriter = func(w io.Writer) io.Writer {
			return pausingWriter{w, func() {
				<-answered
				w.(*conn).SetReadDeadline(time.Now()) // the deadline passes during the pause
			}}
		}
		resp, e := Send(t.Context(), c)
		is.Equal(readResult(t, resp, e), "own")
	}
	h.Reset()
}
