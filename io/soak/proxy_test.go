package soak

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// echo returns the address of a server that answers each line with itself.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				for s := bufio.NewScanner(c); s.Scan(); {
					fmt.Fprintln(c, s.Text())
				}
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against faults that do nothing, or that work on other links than they
// should: the soak would pass for want of faults.
func TestProxyFaults(t *testing.T) {
	is := is.New(t)
	p := NewProxy()
	defer p.Close()
	const face = "127.0.0.1:0"
	is.NoErr(p.Open(face, echo(t), "server"))
	addr := p.listen[0].Addr().String()
	p.Name("127.0.0.7", "client")
	dial := func(ip string) net.Conn {
		d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
		c, err := d.Dial("tcp", addr)
		is.NoErr(err)
		return c
	}
	ask := func(c net.Conn) (time.Duration, error) {
		start := time.Now()
		c.SetDeadline(start.Add(time.Second))
		fmt.Fprintln(c, "x")
		_, err := bufio.NewReader(c).ReadString('\n')
		return time.Since(start), err
	}
	const delay = 150 * time.Millisecond

	client, other := dial("127.0.0.7"), dial("127.0.0.8")
	_, err := ask(client)
	is.NoErr(err)
	p.Set("client", "server", Fault{Delay: delay})
	p.Set("server", "client", Fault{Delay: delay})
	took, err := ask(client)
	is.NoErr(err)
	is.True(took >= 2*delay)
	took, err = ask(other)
	is.NoErr(err)
	is.True(took < 2*delay) // its link has no fault

	p.Set("client", "server", Fault{})
	p.Set("server", "client", Fault{Silent: true})
	_, err = ask(client)
	is.True(err != nil)
	p.Set("server", "client", Fault{})
	client.SetDeadline(time.Now().Add(time.Second))
	_, err = bufio.NewReader(client).ReadString('\n') // what was held comes now
	is.NoErr(err)

	p.Reset(func(from, to string) bool { return from == "client" })
	_, err = ask(client)
	is.True(err != nil)
	_, err = ask(other)
	is.NoErr(err)
}
