package entry

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout makes the kernel end a connection whose sent data is not
// acknowledged within userTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	ctl := raw.Control(func(fd uintptr) {
		ms := int(userTimeout.Milliseconds())
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms)
	})
	return errors.Join(ctl, err)
}

// alive reports whether an idle connection can still be used: the peer has
// neither closed it nor sent anything unasked.
func alive(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && open
}
