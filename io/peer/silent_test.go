package peer

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against streams and calls that are lost because a few calls at once were
// late on the same connection, and against a silent connection that is kept.
func TestSilentConnection(t *testing.T) {
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
	late := context.DeadlineExceeded
	for range 20 {
		c.observe("127.0.0.1:1", cc, time.Now(), late) // sent together, all late
	}
	is.True(kept())
	c.observe("127.0.0.1:1", cc, time.Now().Add(-time.Second), nil) // one answer
	c.observe("127.0.0.1:1", cc, time.Now().Add(-time.Second), late)
	is.True(kept()) // a single call
	c.observe("127.0.0.1:1", cc, time.Now().Add(-silentFor/2), late)
	is.True(!kept()) // no answer to calls that were sent a second apart
}
