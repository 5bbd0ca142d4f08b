//go:build !linux

package relay

import (
	"net"
	"syscall"
)

// setUserTimeout does nothing on systems without TCP_USER_TIMEOUT.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }

// newLivenessCheck returns a function that always reports true, because connections
// cannot be inspected here. A connection that turns out to be closed fails the
// attempt, and idempotent requests are retried.
func newLivenessCheck(net.Conn) func() bool { return func() bool { return true } }

// newResetCheck returns a function that knows nothing.
func newResetCheck(net.Conn) func() (reset, known bool) {
	return func() (bool, bool) { return false, false }
}
