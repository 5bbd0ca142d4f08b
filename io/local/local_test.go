package local

import (
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// Guards against a port that is allocated twice, and against one in the ephemeral
// range, which an outgoing connection can take before its listener starts.
func TestAddr(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for range 200 {
		addr, err := Addr()
		is.NoErr(err)
		is.True(!seen[addr])
		seen[addr] = true
		at, err := netip.ParseAddrPort(addr)
		is.NoErr(err)
		is.True(at.Port() >= firstPort && at.Port() <= lastPort)
	}
}

// Guards against a port on which another process listens, or that it has
// allocated but not yet bound.
func TestAddrSkipsPortsInUse(t *testing.T) {
	is := is.New(t)
	tcpAddr := func(port int) *net.TCPAddr { return &net.TCPAddr{IP: loopback, Port: port} }
	mu.Lock()
	first := next
	mu.Unlock()
	if first > lastPort-2 {
		first = firstPort
	}
	l, err := net.ListenTCP("tcp4", tcpAddr(first))
	if err == nil { // otherwise another process holds the port, which has the same effect
		defer l.Close()
	}
	reservation, err := net.ListenUDP("udp4", &net.UDPAddr{IP: loopback, Port: first + 1})
	if err == nil {
		defer reservation.Close()
	}
	mu.Lock()
	next = first
	mu.Unlock()
	addr, err := Addr()
	is.NoErr(err)
	is.True(addr != tcpAddr(first).String())
	is.True(addr != tcpAddr(first+1).String())
}
