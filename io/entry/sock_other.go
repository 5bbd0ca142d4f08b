//go:build !linux

package entry

import (
	"net"
	"syscall"
)

// setUserTimeout does nothing where TCP_USER_TIMEOUT does not exist.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }

// alive cannot look into a connection here. A connection that turns out to be
// closed fails the attempt, and idempotent requests are tried again.
func alive(net.Conn) bool { return true }
