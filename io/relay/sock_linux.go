package relay

import (
	"errors"
	"net"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// setUserTimeout sets TCP_USER_TIMEOUT, so that the kernel closes a connection whose
// sent data is not acknowledged within tcpUserTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	ctl := raw.Control(func(fd uintptr) {
		ms := int(tcpUserTimeout.Milliseconds())
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, ms)
	})
	return errors.Join(ctl, err)
}

// newLivenessCheck returns a function that reports whether an idle connection is still
// usable: the peer has neither closed it nor sent unsolicited data. It must not be
// called concurrently.
func newLivenessCheck(c net.Conn) func() bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return func() bool { return true }
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return func() bool { return false }
	}
	open := false
	buf := make([]byte, 1)
	peek := func(fd uintptr) bool {
		// Calling recvfrom without an address buffer avoids an allocation.
		_, _, errno := syscall.Syscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&buf[0])), 1,
			unix.MSG_PEEK|unix.MSG_DONTWAIT, 0, 0)
		open = errno == unix.EAGAIN
		return true
	}
	return func() bool { return raw.Read(peek) == nil && open }
}

// newResetCheck returns a function that reports whether a connection at whose end a read
// has arrived was reset, or timed out, and whether that is known. After an orderly end by
// the peer the socket still waits for its own close.
func newResetCheck(c net.Conn) func() (reset, known bool) {
	unknown := func() (bool, bool) { return false, false }
	sc, ok := c.(syscall.Conn)
	if !ok {
		return unknown
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return unknown
	}
	return func() (reset, known bool) {
		ctl := raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			known = err == nil && info.State != 0
			reset = known && info.State == unix.BPF_TCP_CLOSE
		})
		return reset, known && ctl == nil
	}
}
