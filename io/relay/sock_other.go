//go:build !linux

package relay

import (
	"net"
	"syscall"
)

// setUserTimeout does nothing where TCP_USER_TIMEOUT does not exist.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }

// newLivenessCheck cannot look into a connection here. A connection that turns out to be
// closed fails the attempt, and idempotent requests are tried again.
func newLivenessCheck(net.Conn) func() bool { return func() bool { return true } }
