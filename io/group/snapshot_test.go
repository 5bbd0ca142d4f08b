package group

import (
	"errors"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/raft"
)

// strictCounter is a counter that rejects a snapshot which it cannot decode.
type strictCounter struct{ counter }

func (c *strictCounter) Restore(b []byte) error {
	if len(b) != 8 {
		return errors.New("malformed snapshot")
	}
	return c.counter.Restore(b)
}

// discard is a Sender that sends nothing.
type discard struct{}

func (discard) Send(corianderwing.InstanceID, raft.Message) {}

// Guards against one malformed snapshot, for example of a leader of a later version,
// after which a replica never starts again: it was stored before it was decoded.
func TestMalformedSnapshotIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		voters := corianderwing.Membership{Voters: []corianderwing.InstanceID{"a", "b", "c"}}
		s := &memStore{}
		open := func() *Group {
			m := &strictCounter{}
			g, err := Open(Config{Group: "g", Self: "a", Voters: voters, Seed: 1}, s, m, discard{})
			is.NoErr(err)
			return g
		}
		send := func(g *Group, data []byte) {
			g.Receive(raft.Message{Group: "g", To: "a", From: "b", Kind: raft.InstallSnapshot, Term: 7, Index: 10, LogTerm: 6, Round: 1,
				Snapshot: &corianderwing.Snapshot{Index: 10, Term: 6, Voters: voters, Data: data}})
			synctest.Wait()
		}
		g := open()
		send(g, []byte("x"))
		<-g.Done()
		is.True(g.Status().Err != nil)
		is.Equal(s.stored.Snapshot.Index, corianderwing.Index(0))
		g.Close()
		g = open()
		send(g, encodeNumber(3)) // the leader sends it again
		is.Equal(g.Status().Err, nil)
		is.Equal(s.stored.Snapshot.Index, corianderwing.Index(10))
		is.NoErr(g.Close())
		is.NoErr(open().Close())
	})
}
