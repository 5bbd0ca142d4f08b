package record

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

func testBatch(from, to int) Batch {
	b := Batch{Instance: "e", Incarnation: 1, Lost: uint64(to)}
	for i := from; i < to; i++ {
		b.Records = append(b.Records, testRecord(i))
	}
	return b
}

// Guards against duplicates after a resent batch, unbounded memory use, and queries
// that return wrong records or a wrong order.
func TestHolderQuery(t *testing.T) {
	is := is.New(t)
	h, err := NewHolder(HolderConfig{MaxRecords: 10})
	is.NoErr(err)
	is.NoErr(h.Store(testBatch(0, 8)))
	is.NoErr(h.Store(testBatch(4, 15)))
	is.Equal(h.Len(), 10)
	found := h.Find(corianderwing.Query{})
	is.Equal(len(found.Records), 10)
	is.Equal(found.Records[0].Request, corianderwing.RequestID("r14"))
	is.Equal(found.Records[9].Request, corianderwing.RequestID("r5"))
	is.Equal(found.TotalLost(), uint64(15))
	numFound := func(q corianderwing.Query) int { return len(h.Find(q).Records) }
	is.Equal(numFound(corianderwing.Query{Workspace: "other"}), 0)
	is.Equal(numFound(corianderwing.Query{Code: corianderwing.RateExceeded, Limit: 3}), 3)
	is.Equal(numFound(corianderwing.Query{Code: corianderwing.Shed}), 0)
	is.Equal(numFound(corianderwing.Query{Request: "r7"}), 1)
	is.Equal(numFound(corianderwing.Query{Route: "x"}), 0)
	is.Equal(numFound(corianderwing.Query{From: time.Unix(10, 0), To: time.Unix(12, 0)}), 2)
	restarted := testBatch(20, 21)
	restarted.Incarnation = 2
	restarted.Lost = 1
	is.NoErr(h.Store(restarted))
	is.Equal(h.Find(corianderwing.Query{}).TotalLost(), uint64(16))
}

// Guards against records that do not survive a restart, a partially written line that
// corrupts others, and files that grow without bound.
func TestHolderFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	cfg := HolderConfig{Dir: dir, MaxFileSize: 1000, MaxFiles: 3}
	h, err := NewHolder(cfg)
	is.NoErr(err)
	is.NoErr(h.Store(testBatch(0, 2)))
	is.NoErr(h.Close())
	is.True(h.Store(testBatch(2, 3)) != nil) // closed
	torn := filepath.Join(dir, "records-000000001.json")
	f, err := os.OpenFile(torn, os.O_APPEND|os.O_WRONLY, 0)
	is.NoErr(err)
	_, err = f.WriteString(`{"request":"torn","at":"20`)
	is.NoErr(err)
	is.NoErr(f.Close())
	h, err = NewHolder(cfg)
	is.NoErr(err)
	is.Equal(h.Len(), 2)
	is.NoErr(h.Store(testBatch(0, 50)))
	is.Equal(h.Len(), 50)
	is.NoErr(h.Close())
	names, err := filepath.Glob(filepath.Join(dir, "*"))
	is.NoErr(err)
	is.Equal(len(names), 3)
	for _, name := range names {
		info, err := os.Stat(name)
		is.NoErr(err)
		is.True(info.Size() <= cfg.MaxFileSize)
	}
	h, err = NewHolder(cfg)
	is.NoErr(err)
	is.Equal(h.Find(corianderwing.Query{}).Records[0].Request, corianderwing.RequestID("r49"))
	is.True(h.Len() < 50)
	is.NoErr(h.Close())
}

// Guards against duplicates, losses counted twice, and a wrong order in the merged
// responses of holders.
func TestMerge(t *testing.T) {
	is := is.New(t)
	a, _ := NewHolder(HolderConfig{})
	b, _ := NewHolder(HolderConfig{})
	is.NoErr(a.Store(testBatch(0, 6)))
	is.NoErr(b.Store(testBatch(3, 9)))
	q := corianderwing.Query{Limit: 7}
	m := Merge(q, a.Find(q), b.Find(q))
	is.Equal(len(m.Records), 7)
	for i, r := range m.Records {
		is.Equal(r.Request, testRecord(8-i).Request)
	}
	is.Equal(m.TotalLost(), uint64(9))
}
