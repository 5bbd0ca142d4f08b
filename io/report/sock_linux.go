package report

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// userTimeout returns a control function of a dialer that sets TCP_USER_TIMEOUT. The
// kernel drops what is not acknowledged by then, also while the process is stopped.
func userTimeout(d time.Duration) func(_, _ string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var err error
		ctl := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(max(1, d.Milliseconds())))
		})
		return errors.Join(ctl, err)
	}
}
