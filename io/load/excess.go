package load

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// span is the time in which a request was admitted: after it was sent and
// before its answer ended.
type span struct{ sent, done time.Duration }

// excess returns by how many requests a system surely exceeded rate and burst.
// A request was admitted at an unknown time in its span, so only requests
// whose spans lie within a window surely belong to it. The result is the
// largest excess of their number over rate times length plus burst, of all
// windows.
func excess(rate, burst float64, admitted []span) float64 {
	if len(admitted) == 0 {
		return 0
	}
	ends := make([]time.Duration, len(admitted))
	for i, s := range admitted {
		ends[i] = s.done
	}
	slices.Sort(ends)
	// The position i of the tree stands for windows that end at ends[i]. Its
	// value is the number of spans in the window, less the rate times the end.
	t := newMaxTree(len(ends), func(i int) float64 { return -rate * ends[i].Seconds() })
	slices.SortFunc(admitted, func(a, b span) int { return cmp.Compare(b.sent, a.sent) })
	worst := 0.0
	for _, s := range admitted { // windows that begin at s.sent, the latest first
		first := sort.Search(len(ends), func(i int) bool { return ends[i] >= s.done })
		t.add(first, 1)
		begin := sort.Search(len(ends), func(i int) bool { return ends[i] >= s.sent })
		worst = max(worst, t.max(begin)+rate*s.sent.Seconds()-burst)
	}
	return worst
}

// maxTree holds numbers at positions. It adds to all positions from one on,
// and finds the highest number from a position on, both in logarithmic time.
type maxTree struct {
	size int // a power of two
	most []float64
	more []float64 // still to be added to everything below a node
}

func newMaxTree(n int, value func(i int) float64) *maxTree {
	size := 1
	for size < n {
		size *= 2
	}
	t := &maxTree{size: size, most: make([]float64, 2*size), more: make([]float64, 2*size)}
	for i := range size {
		// Positions past the end repeat the last number, which they can
		// never exceed.
		t.most[size+i] = value(min(i, n-1))
	}
	for i := size - 1; i > 0; i-- {
		t.most[i] = max(t.most[2*i], t.most[2*i+1])
	}
	return t
}

func (t *maxTree) add(from int, v float64) { t.addBelow(1, t.size, from, v) }

// addBelow adds to the positions from one on, which counts from the node's
// first position.
func (t *maxTree) addBelow(node, width, from int, v float64) {
	if from <= 0 {
		t.most[node] += v
		t.more[node] += v
		return
	}
	if from >= width {
		return
	}
	t.addBelow(2*node, width/2, from, v)
	t.addBelow(2*node+1, width/2, from-width/2, v)
	t.most[node] = max(t.most[2*node], t.most[2*node+1]) + t.more[node]
}

// max returns the highest number from a position on, which must exist.
func (t *maxTree) max(from int) float64 {
	node, width, more := 1, t.size, 0.0
	best := 0.0
	found := false
	take := func(v float64) {
		if !found || v > best {
			best, found = v, true
		}
	}
	for from > 0 && width > 1 {
		more += t.more[node]
		width /= 2
		if from < width {
			take(t.most[2*node+1] + more)
			node = 2 * node
		} else {
			from -= width
			node = 2*node + 1
		}
	}
	take(t.most[node] + more)
	return best
}
