package relay

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against taking a broken connection for a crash of the peer: only an address
// at which nothing listens any more refuses connections.
func TestRefusesConnections(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	p := &ConnPool{Addr: ln.Addr().String(), Dial: TCPDialer(nil), MaxIdle: 1}
	is.True(!p.RefusesConnections(t.Context()))
	is.Equal(p.Idle(), 1) // the connection serves a later request
	ln.Close()
	is.True(p.RefusesConnections(t.Context()))
}
