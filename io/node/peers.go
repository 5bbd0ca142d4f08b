package node

import "corianderwing/io/peer"

// handshakeFraction is the fraction of the memory limit that connections of peers may
// take before their first call.
const handshakeFraction = 1. / 8

// maxHandshakes returns how many connections of peers may be open before their first
// call, for a memory limit in MB; 0 for the default.
func maxHandshakes(mb int) int {
	n := int(float64(mb<<20) * handshakeFraction / peer.HandshakeBytes)
	return min(n, peer.DefaultMaxHandshakes)
}
