package budget

// ledger accounts for one resource that classes share. Each class has a reserve that
// no other class can use; what the reserves leave is shared by all.
type ledger struct {
	limit   int64
	reserve [NumClasses]int64
	used    [NumClasses]int64
}

// newLedger divides a limit. The shares give the reserve of each class as a fraction.
func newLedger(limit int64, shares [NumClasses]float64) ledger {
	l := ledger{limit: limit}
	for c, f := range shares {
		l.reserve[c] = int64(float64(limit) * f)
	}
	return l
}

// fits reports whether class c can use n more.
func (l *ledger) fits(c Class, n int64) bool {
	shared := l.limit
	for i := range l.used {
		used := l.used[i]
		if Class(i) == c {
			used += n
		}
		shared -= max(used, l.reserve[i])
	}
	return shared >= 0
}

// frees reports whether releasing what class v uses can make room for class c.
func (l *ledger) frees(v, c Class) bool {
	return v == c || l.used[v] > l.reserve[v]
}

// total returns what all classes use.
func (l *ledger) total() int64 {
	var n int64
	for _, used := range l.used {
		n += used
	}
	return n
}
