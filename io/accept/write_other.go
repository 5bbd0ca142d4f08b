//go:build !linux

package accept

import "net"

// writeParts writes p to c as a whole.
func writeParts(c net.Conn, p []byte, moved func(int)) (int, error) { return writeWhole(c, p, moved) }
