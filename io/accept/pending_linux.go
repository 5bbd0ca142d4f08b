package accept

import (
	"net"

	"golang.org/x/sys/unix"
)

// hasPending reports whether the kernel holds a connection that was not accepted yet.
func hasPending(l *net.TCPListener) bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		pending = err == nil && n == 1
	})
	return err == nil && pending
}
