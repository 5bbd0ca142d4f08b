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

// Guards against a row of ports with one that another process has allocated but not
// yet bound, and against a row that is allocated twice.
func TestPortsSkipsPortsInUse(t *testing.T) {
	is := is.New(t)
	mu.Lock()
	first := next
	if first > lastPort-30 {
		first = firstPort
	}
	next = first
	mu.Unlock()
	reservation, err := net.ListenUDP("udp4", &net.UDPAddr{IP: loopback, Port: first + 4})
	if err == nil { // otherwise another process holds the port, which has the same effect
		defer reservation.Close()
	}
	row, err := Ports(10)
	is.NoErr(err)
	is.True(row > first+4)
	other, err := Ports(10)
	is.NoErr(err)
	is.True(other >= row+10 || other+10 <= row)
}
