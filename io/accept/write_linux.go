package accept

import (
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// writeParts writes p to c and calls moved for each part that the kernel takes, also
// while the rest waits for the client.
func writeParts(c net.Conn, p []byte, moved func(int)) (n int, err error) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return writeWhole(c, p, moved)
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return 0, err
	}
	var writeErr error
	err = raw.Write(func(fd uintptr) bool {
		for n < len(p) {
			m, err := unix.Write(int(fd), p[n:])
			if m > 0 {
				n += m
				moved(m)
			}
			switch err {
			case nil, unix.EINTR:
			case unix.EAGAIN:
				return false // waits until the kernel takes more
			default:
				writeErr = &net.OpError{Op: "write", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("write", err)}
				return true
			}
		}
		return true
	})
	if err == nil {
		err = writeErr
	}
	return n, err
}
