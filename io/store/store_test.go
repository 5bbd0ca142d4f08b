package store

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"corianderwing"
)

// model is the expected content of a store.
type model struct {
	vote corianderwing.Vote
	snap corianderwing.Snapshot
	log  memLog
}

func (m model) clone() model {
	m.log.entries = slices.Clone(m.log.entries)
	return m
}

func (m model) same(st corianderwing.StoredState) bool {
	return m.vote == st.Vote && reflect.DeepEqual(m.snap, st.Snapshot) && slices.EqualFunc(m.log.entries, st.Entries,
		func(a, b corianderwing.Entry) bool {
			return a.Index == b.Index && a.Term == b.Term && a.Kind == b.Kind && bytes.Equal(a.Data, b.Data)
		})
}

// applyRandomOp does one random operation on a store and a model.
func applyRandomOp(rng *rand.Rand, s *Store, m *model) error {
	m.vote.Term += corianderwing.Term(rng.IntN(2))
	switch rng.IntN(8) {
	case 0:
		m.vote = corianderwing.Vote{Term: m.vote.Term + 1, Candidate: corianderwing.InstanceID(fmt.Sprint("c", rng.IntN(3)))}
	case 1: // a snapshot of the local log, or one from a leader whose log is ahead or differs
		m.snap = corianderwing.Snapshot{Index: m.log.baseIndex + corianderwing.Index(1+rng.IntN(len(m.log.entries)+4)), Term: m.vote.Term, Data: []byte("state")}
		m.snap.Voters.Voters = []corianderwing.InstanceID{"c0", "c1"}
		if k := int(m.snap.Index - m.log.baseIndex); k <= len(m.log.entries) && rng.IntN(4) > 0 {
			m.snap.Term = m.log.entries[k-1].Term
		}
		m.log.compact(m.snap.Index, m.snap.Term)
		return errors.Join(s.SaveVote(m.vote), s.SaveSnapshot(m.snap))
	default:
		var batch []corianderwing.Entry
		from := m.log.last() + 1 - corianderwing.Index(rng.IntN(min(3, len(m.log.entries)+1)))
		for k := range 1 + rng.IntN(4) {
			batch = append(batch, corianderwing.Entry{Index: from + corianderwing.Index(k), Term: m.vote.Term, Kind: corianderwing.EntryKind(k % 2), Data: bytes.Repeat([]byte{byte(rng.Uint32())}, rng.IntN(40))})
		}
		m.log.add(batch)
		return errors.Join(s.SaveVote(m.vote), s.Append(batch))
	}
	return s.SaveVote(m.vote)
}

func open(m *memFS) (*Store, corianderwing.StoredState, error) {
	m.locked = false
	s, err := Open(m)
	if err != nil {
		return nil, corianderwing.StoredState{}, err
	}
	s.segLimit = 200
	st, err := s.Load()
	return s, st, err
}

// runUntilCrash runs operations until the disk crashes or n are done. It returns the
// models that the disk may hold: one, or those around the operation that
// failed.
func runUntilCrash(rng *rand.Rand, s *Store, m model, n int) []model {
	for range n {
		before := m.clone()
		if err := applyRandomOp(rng, s, &m); err != nil {
			voted := before.clone()
			voted.vote = m.vote
			return []model{before, voted, m}
		}
	}
	return []model{m}
}

// crashAt crashes at the given disk operation, and again during and after the
// recovery. It returns a description of the failure, or "".
func crashAt(seed uint64, opsLeft int, skipSync bool) (wrong string, done bool) {
	rng := rand.New(rand.NewPCG(seed, 2))
	disk := newMemFS(seed, opsLeft)
	disk.skipSync = skipSync
	allowed := []model{{}}
	for life := range 4 {
		s, st, err := open(disk)
		if err != nil && !errors.Is(err, errCrash) {
			return fmt.Sprintf("life %d: %v", life, err), false
		}
		if err == nil {
			k := slices.IndexFunc(allowed, func(m model) bool { return m.same(st) })
			if k < 0 {
				return fmt.Sprintf("life %d: loaded %+v, want one of %+v", life, st, allowed), false
			}
			allowed = runUntilCrash(rng, s, allowed[k], 12)
			done = done || life == 0 && disk.opsLeft >= 0
		}
		disk = disk.recover()
		disk.opsLeft = 1 + rng.IntN(60)
	}
	return "", done
}

// Guards against lost or partially written data after a crash at any disk
// operation, including during recovery from an earlier crash.
func TestCrashAtEveryOperation(t *testing.T) {
	runs := 0
	for seed := range uint64(30) {
		for left := range 1000 {
			wrong, done := crashAt(seed, left, false)
			if wrong != "" {
				t.Fatalf("seed %d, crash at operation %d: %s", seed, left, wrong)
			}
			runs++
			if done {
				break
			}
		}
	}
	t.Logf("%d runs", runs)
}

// Guards against a crash test that cannot detect lost data: without syncs it
// must fail.
func TestCrashNoticesMissingSync(t *testing.T) {
	for left := range 1000 {
		if wrong, _ := crashAt(1, left, true); wrong != "" {
			t.Logf("seed 1, crash at operation %d: %.80s", left, wrong)
			return
		}
	}
	t.Fatal("no crash lost anything although nothing was synced")
}

// Guards against corruption that is mistaken for an unsynced tail, and against
// loading corrupt data: every bit flip in every file must be reported, except
// that the last frame may be truncated.
func TestDamageIsReported(t *testing.T) {
	is := is.New(t)
	disk := newMemFS(3, 1<<30)
	s, _, err := open(disk)
	is.NoErr(err)
	is.NoErr(s.SaveVote(corianderwing.Vote{Term: 1, Candidate: "c1"}))
	const entries = 20
	for k := corianderwing.Index(1); k <= entries; k += 2 {
		batch := []corianderwing.Entry{{Index: k, Term: 1, Data: make([]byte, 30)}, {Index: k + 1, Term: 1}}
		is.NoErr(s.Append(batch))
		if k == 5 {
			is.NoErr(s.SaveSnapshot(corianderwing.Snapshot{Index: 4, Term: 1, Data: []byte("state")}))
		}
	}
	last := segName(s.segNo)
	intact := disk.names
	is.True(len(intact) > 3) // vote, snapshot and at least two segments
	flips, cuts := 0, 0
	for name, f := range intact {
		for i := range f.data {
			broken := newMemFS(3, 1<<30)
			for n, g := range intact {
				broken.names[n] = &memFile{fs: broken, data: slices.Clone(g.data), synced: len(g.data)}
			}
			broken.names[name].data[i] ^= 1 << (i % 8)
			_, st, err := open(broken)
			var damage *CorruptionError
			flips++
			if err == nil && st.Truncated && name == last {
				// The whole last frame is truncated; everything before it is intact.
				cuts++
				is.Equal(len(st.Entries), entries-4-2)
				continue
			}
			if !errors.As(err, &damage) {
				t.Fatalf("bit flip at %d in %s: error %v, cut %v", i, name, err, st.Truncated)
			}
		}
	}
	is.Equal(cuts, frameHeaderSize+2*4+30) // the bytes of the last frame
	t.Logf("%d flips, %d in the last frame", flips, cuts)
}

// Guards against two processes that use one directory, and against a replica
// that rejoins under its old id after its disk was lost or wiped.
func TestDirectory(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	s, err := OpenDir(dir)
	is.NoErr(err)
	_, err = OpenDir(dir)
	is.True(errors.Is(err, ErrLocked))
	_, ok, err := s.Identity()
	is.NoErr(err)
	is.True(!ok)
	id, err := s.EnsureIdentity("c1", false)
	is.NoErr(err)
	is.Equal(id, corianderwing.InstanceID("c1"))
	is.True(s.SetIdentity("c2") != nil)
	_, err = s.Load()
	is.NoErr(err)
	entry := []corianderwing.Entry{{Index: 1, Term: 1, Data: []byte("x")}}
	is.NoErr(s.SaveVote(corianderwing.Vote{Term: 1, Candidate: "c1"}))
	is.NoErr(s.Append(entry))
	is.True(s.Append([]corianderwing.Entry{{Index: 9, Term: 1}}) != nil) // a gap
	is.NoErr(s.Close())

	s, err = OpenDir(dir)
	is.NoErr(err)
	st, err := s.Load()
	is.NoErr(err)
	is.Equal(st.Entries, entry)
	id, err = s.EnsureIdentity("c1", true)
	is.NoErr(err)
	is.Equal(id, corianderwing.InstanceID("c1")) // it still has its data
	is.NoErr(s.Wipe())
	_, ok, err = s.Identity()
	is.NoErr(err)
	is.True(!ok)
	st, err = s.Load()
	is.NoErr(err)
	is.Equal(st, corianderwing.StoredState{})
	fresh, err := s.EnsureIdentity("c1", true)
	is.NoErr(err)
	is.True(strings.HasPrefix(string(fresh), "c1.") && corianderwing.ValidID(string(fresh)))
	is.True(fresh != NewIdentity("c1"))
	is.NoErr(s.Close())

	is.NoErr(os.Remove(filepath.Join(dir, segName(1))))
	s, err = OpenDir(dir)
	is.NoErr(err)
	_, err = s.Load()
	var damage *CorruptionError
	is.True(errors.As(err, &damage)) // an identity without its log
	is.NoErr(s.Close())
}
