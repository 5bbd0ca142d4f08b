package raft

import (
	"sort"

	"corianderwing"
)

// memLog is the in-memory log: the entries after index prev, whose term is
// prevTerm.
type memLog struct {
	prev     corianderwing.Index
	prevTerm corianderwing.Term
	entries  []corianderwing.Entry
}

func (l *memLog) lastIndex() corianderwing.Index {
	return l.prev + corianderwing.Index(len(l.entries))
}

func (l *memLog) lastTerm() corianderwing.Term {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at i, or false if the entry is compacted or
// beyond the end of the log.
func (l *memLog) term(i corianderwing.Index) (corianderwing.Term, bool) {
	switch {
	case i == l.prev:
		return l.prevTerm, true
	case i < l.prev || i > l.lastIndex():
		return 0, false
	}
	return l.entries[i-l.prev-1].Term, true
}

func (l *memLog) matches(i corianderwing.Index, t corianderwing.Term) bool {
	own, ok := l.term(i)
	return ok && own == t
}

// moreUpToDate reports whether this log is more up to date than one whose last
// entry has index i and term t.
func (l *memLog) moreUpToDate(i corianderwing.Index, t corianderwing.Term) bool {
	if own := l.lastTerm(); own != t {
		return own > t
	}
	return l.lastIndex() > i
}

// slice returns the entries in (after, upTo]. The caller must not modify it.
func (l *memLog) slice(after, upTo corianderwing.Index) []corianderwing.Entry {
	if after < l.prev || upTo <= after {
		return nil
	}
	from, to := after-l.prev, upTo-l.prev
	return l.entries[from:to:to]
}

// batch returns the entries after the given index, limited to n entries and size
// bytes of data, but at least one if there are any.
func (l *memLog) batch(after corianderwing.Index, n, size int) []corianderwing.Entry {
	all := l.slice(after, l.lastIndex())
	if len(all) > n {
		all = all[:n]
	}
	for i := range all {
		size -= len(all[i].Data)
		if size < 0 && i > 0 {
			return all[:i]
		}
	}
	return all
}

// truncate removes the entry at from and all later ones. Messages may hold
// slices of the backing array, so the next append must not write into it.
func (l *memLog) truncate(from corianderwing.Index) {
	n := from - l.prev - 1
	l.entries = l.entries[:n:n]
}

// compact discards the entries up to and including i.
func (l *memLog) compact(i corianderwing.Index) {
	if i <= l.prev {
		return
	}
	t, _ := l.term(i)
	l.entries = append([]corianderwing.Entry(nil), l.entries[i-l.prev:]...)
	l.prev, l.prevTerm = i, t
}

// findConflictByTerm returns the last index up to i whose term is at most t, so that one
// rejection skips a whole conflicting term.
func (l *memLog) findConflictByTerm(i corianderwing.Index, t corianderwing.Term) corianderwing.Index {
	if i > l.lastIndex() {
		i = l.lastIndex()
	}
	if i <= l.prev {
		return i
	}
	n := sort.Search(int(i-l.prev), func(k int) bool { return l.entries[k].Term > t })
	return l.prev + corianderwing.Index(n)
}
