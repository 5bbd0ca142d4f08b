//go:build !linux

package report

import (
	"syscall"
	"time"
)

// userTimeout returns nil on systems without TCP_USER_TIMEOUT.
func userTimeout(time.Duration) func(_, _ string, raw syscall.RawConn) error { return nil }
