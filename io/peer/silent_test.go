package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a connection that is replaced, failing its streams and calls,
// because a few concurrent calls were late, and against an unresponsive connection
// that is kept.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	c := NewClient([]byte("s"))
	defer c.Close()
	cc, err := c.conn("127.0.0.1:1")
	is.NoErr(err)
	kept := func() bool {
		again, err := c.conn("127.0.0.1:1")
		is.NoErr(err)
		return again == cc
	}
	timeout := context.DeadlineExceeded
	for range 20 {
		c.recordResult("127.0.0.1:1", cc, time.Now(), timeout) // sent together, all timed out
	}
	is.True(kept())
	c.recordResult("127.0.0.1:1", cc, time.Now().Add(-time.Second), nil) // one response
	c.recordResult("127.0.0.1:1", cc, time.Now().Add(-time.Second), timeout)
	is.True(kept()) // a single call
	c.recordResult("127.0.0.1:1", cc, time.Now().Add(-silenceTimeout/2), timeout)
	is.True(!kept()) // two calls without a response, the first sent a second ago
}

// Guards against pending calls that fail although their responses arrive in time,
// because other calls on the same connection timed out.
func TestLateCallsDoNotCancelOthers(t *testing.T) {
	is := is.New(t)
	slow := Method[string, string]{Name: "slow"}
	s := NewServer([]byte("s"))
	Handle(s, slow, func(context.Context, *string) (*string, error) {
		time.Sleep(900 * time.Millisecond)
		answer := "late"
		return &answer, nil
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	go s.Serve(l)
	defer s.Stop()
	c := NewClient([]byte("s"))
	defer c.Close()
	addr := l.Addr().String()
	done := make(chan error)
	call := func(limit time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		q := ""
		_, err := Call(ctx, c, addr, slow, &q)
		return err
	}
	go func() { done <- call(5 * time.Second) }()
	for range maxTimeouts + 1 {
		go call(silenceTimeout)
	}
	time.Sleep(20 * time.Millisecond)
	is.True(call(silenceTimeout+50*time.Millisecond) != nil)
	is.NoErr(<-done)
}
