//go:build !linux

package accept

import "net"

// hasPending reports false: only Linux is known to tell.
func hasPending(*net.TCPListener) bool { return false }
