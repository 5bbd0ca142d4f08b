package peer

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against a server that goes on serving because it was stopped before the
// goroutine that serves had begun.
func TestStopBeforeServe(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := NewServer([]byte("secret"))
	s.Stop()
	is.True(s.Serve(l) != nil) // returns
	_, err = net.Dial("tcp", l.Addr().String())
	is.True(err != nil)
}
