// Package local allocates loopback addresses for the processes of a demo or a
// test.
package local

import (
	"errors"
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
// Addr and may still use: a UDP socket on the same port, open until the process
// ends, reserves the port.
func Addr() (string, error) {
	mu.Lock()
	defer mu.Unlock()
	for triedPorts <= lastPort-firstPort {
		port := next
		triedPorts++
		next++
		if next > lastPort {
			next = firstPort
		}
		reservation, err := net.ListenUDP("udp4", &net.UDPAddr{IP: loopback, Port: port})
		if err != nil {
			continue
		}
		l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: loopback, Port: port})
		if err != nil {
			reservation.Close()
			continue
		}
		reservations = append(reservations, reservation)
		return l.Addr().String(), l.Close()
	}
	return "", errors.New("every loopback port from 10000 to 29999 is in use or was already allocated")
}
