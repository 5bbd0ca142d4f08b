package report

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Guards against a report that the kernel repeats on a broken link after the lease,
// while the process is stopped and cannot reset the connection.
func TestUserTimeout(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	d := net.Dialer{Control: userTimeout(700 * time.Millisecond)}
	conn, err := d.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	ms := 0
	is.NoErr(raw.Control(func(fd uintptr) { ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) }))
	is.NoErr(err)
	is.Equal(ms, 700)
}
