//go:build linux

package relay

import (
	"context"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Guards against sending requests on an idle connection that the peer has closed, and
// against connections that outlive a partition.
func TestSocketOptionsAndLiveness(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	c, err := TCPDialer(nil)(context.Background(), l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	server, err := l.Accept()
	is.NoErr(err)
	probe := newLivenessCheck(c)
	is.True(probe())
	raw, err := c.(syscall.Conn).SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Control(func(fd uintptr) {
		ms, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		is.NoErr(err)
		is.Equal(ms, 3000)
	}))
	server.Close()
	for end := time.Now().Add(10 * time.Second); probe(); runtime.Gosched() {
		is.True(time.Now().Before(end))
	}
}
