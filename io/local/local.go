// Package local allocates loopback addresses for the processes of a demo or a
// test.
package local

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// firstPort and lastPort are the range from which Addr allocates. It lies below
// the ephemeral port range (32768 and above on Linux), so that no outgoing
// connection can take a port between Addr and the start of the listener.
const (
	firstPort = 10_000
	lastPort  = 29_999
)

// loopback is the IP address of all listeners of a demo or a test.
var loopback = net.IPv4(127, 0, 0, 1)

var (
	mu           sync.Mutex
	next         = firstPort + rand.IntN(lastPort-firstPort+1)
	triedPorts   int
	reservations []*net.UDPConn // open until the process ends
)

// Addr returns a loopback address on which nothing listens on TCP. It returns
// each port at most once per process, and none that another process got from
// this package and may still use.
func Addr() (string, error) {
	port, err := Ports(1)
	if err != nil {
		return "", err
	}
	return (&net.TCPAddr{IP: loopback, Port: port}).String(), nil
}

// Ports returns the first of n consecutive ports of 127.0.0.1, each as a port that
// Addr returns.
func Ports(n int) (first int, err error) {
	mu.Lock()
	defer mu.Unlock()
	for triedPorts <= lastPort-firstPort {
		if first = next; first+n-1 > lastPort {
			triedPorts += lastPort - first + 1
			next = firstPort
			continue
		}
		row, err := reserveRow(first, n)
		if err == nil {
			skip(n)
			reservations = append(reservations, row...)
			return first, nil
		}
		skip(len(row) + 1)
		release(row)
	}
	return 0, fmt.Errorf("no %d consecutive loopback ports from %d to %d that are not in use or already allocated", n, firstPort, lastPort)
}

// skip counts n ports as tried.
func skip(n int) {
	triedPorts += n
	if next += n; next > lastPort {
		next = firstPort
	}
}

// reserveRow reserves n ports from first on, or returns those before the one that
// cannot be reserved.
func reserveRow(first, n int) (row []*net.UDPConn, err error) {
	for port := first; port < first+n; port++ {
		r, err := reserve(port)
		if err != nil {
			return row, err
		}
		row = append(row, r)
	}
	return row, nil
}

// reserve reserves a port on which nothing listens on TCP. A UDP socket on the same
// port, open until the process ends, is the reservation that other processes see.
func reserve(port int) (*net.UDPConn, error) {
	reservation, err := net.ListenUDP("udp4", &net.UDPAddr{IP: loopback, Port: port})
	if err != nil {
		return nil, err
	}
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: loopback, Port: port})
	if err != nil {
		reservation.Close()
		return nil, err
	}
	return reservation, l.Close()
}

func release(row []*net.UDPConn) {
	for _, r := range row {
		r.Close()
	}
}
