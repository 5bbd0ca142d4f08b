package record

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// fakeHolders is a set of holders, some of which reject batches or do not reply.
type fakeHolders struct {
	mu     sync.Mutex
	down   map[corianderwing.InstanceID]bool
	silent map[corianderwing.InstanceID]bool
	stored map[corianderwing.RequestID]map[corianderwing.InstanceID]time.Time
	lost   uint64
}

func newFakeHolders() *fakeHolders {
	return &fakeHolders{
		down:   map[corianderwing.InstanceID]bool{},
		silent: map[corianderwing.InstanceID]bool{},
		stored: map[corianderwing.RequestID]map[corianderwing.InstanceID]time.Time{},
	}
}

func (f *fakeHolders) Ship(ctx context.Context, holder corianderwing.InstanceID, b Batch) error {
	f.mu.Lock()
	down, silent := f.down[holder], f.silent[holder]
	f.mu.Unlock()
	if down {
		return errors.New("refused")
	}
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = b.Lost
	for _, r := range b.Records {
		if f.stored[r.Request] == nil {
			f.stored[r.Request] = map[corianderwing.InstanceID]time.Time{}
		}
		f.stored[r.Request][holder] = time.Now()
	}
	return nil
}

// storedAt returns the time at which each holder stored the record.
func (f *fakeHolders) storedAt(n int) map[corianderwing.InstanceID]time.Time {
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.stored[testRecord(n).Request])
}

// fail makes exactly the given holders reject batches.
func (f *fakeHolders) fail(holders ...corianderwing.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = map[corianderwing.InstanceID]bool{}
	for _, h := range holders {
		f.down[h] = true
	}
}

func (f *fakeHolders) holders() []corianderwing.InstanceID {
	return []corianderwing.InstanceID{"a", "b", "c"}
}

func (f *fakeHolders) buffer(size int) *Buffer {
	return NewBuffer(BufferConfig{Instance: "e", Incarnation: 1, MaxRecords: size, Holders: f.holders, Shipper: f})
}

func testRecord(n int) corianderwing.Record {
	return corianderwing.Record{
		Request:   corianderwing.RequestID(fmt.Sprintf("r%d", n)),
		Instance:  "e",
		Workspace: "w",
		At:        time.Unix(int64(n), 0).UTC(),
		Code:      corianderwing.RateExceeded,
	}
}

// Guards against records that reach their holders late, reach only one holder, or are
// not shipped to another holder when one fails.
func TestShipsToTwoHolders(t *testing.T) {
	for _, bad := range []corianderwing.InstanceID{"", "a", "b"} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFakeHolders()
			f.fail(bad)
			b := f.buffer(100)
			start := time.Now()
			for i := range 10 {
				b.Record(testRecord(i))
			}
			time.Sleep(200 * time.Millisecond) // virtual
			for i := range 10 {
				holders := f.storedAt(i)
				is.Equal(len(holders), 2)
				is.True(holders[bad].IsZero())
				for _, at := range holders {
					is.True(at.Sub(start) <= 200*time.Millisecond)
				}
			}
			is.NoErr(b.Close(t.Context()))
			is.Equal(b.Lost(), uint64(0))
		})
	}
}

// Guards against an unresponsive holder that delays every later batch, and against a
// batch that waits forever for its second copy.
func TestSilentHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeHolders()
		f.silent["a"] = true
		b := f.buffer(100)
		b.Record(testRecord(0))
		time.Sleep(time.Second)
		b.Record(testRecord(1))
		start := time.Now()
		time.Sleep(time.Second)
		is.Equal(len(f.storedAt(0)), 2)
		is.Equal(len(f.storedAt(1)), 2)
		is.True(f.storedAt(1)["b"].Sub(start) <= 200*time.Millisecond)
		f.fail("c")
		b.Record(testRecord(2))
		time.Sleep(10 * time.Second)
		is.Equal(len(f.storedAt(2)), 1)
		b.Record(testRecord(3))
		time.Sleep(10 * time.Second)
		is.Equal(len(f.storedAt(3)), 1)
		is.NoErr(b.Close(t.Context()))
	})
}

// Guards against a buffer that blocks or grows while no holder is reachable, counts
// losses wrongly, or drops its remaining records on Close.
func TestOverflowAndClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeHolders()
		f.fail(f.holders()...)
		b := f.buffer(5)
		for i := range 12 {
			b.Record(testRecord(i))
		}
		is.Equal(b.Lost(), uint64(7))
		time.Sleep(time.Second)
		is.Equal(len(f.storedAt(11)), 0)
		is.True(b.Close(t.Context()) != nil)
		f.fail()
		is.NoErr(b.Close(t.Context()))
		is.Equal(len(f.stored), 5)
		is.Equal(len(f.storedAt(11)), 2)
		is.Equal(f.lost, uint64(7))
	})
}
