package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// fleet is a leader with its control instances and their entry instances.
type fleet struct {
	leader   *Allocator
	controls []*control
}

type control struct {
	name      string
	allocator *Allocator
	reserve   *Limiter
	entries   []*Limiter
}

func newFleet(bound int, entries []int) *fleet {
	f := &fleet{leader: NewAllocator(window, begin)}
	f.leader.SetBounds(bounds(bound))
	for i, n := range entries {
		c := &control{name: fmt.Sprint("c", i), allocator: NewAllocator(window, begin), reserve: NewLimiter(window)}
		c.allocator.SetReserve("reserve")
		for range n {
			c.entries = append(c.entries, NewLimiter(window))
		}
		f.controls = append(f.controls, c)
	}
	return f
}

// renewAll lets all instances report their demand and replace their shares.
func (f *fleet) renewAll(now time.Time) {
	until := corianderwing.HolderDeadline(now, LeaseDuration)
	for _, c := range f.controls {
		shares := map[corianderwing.WorkspaceID]int{}
		for _, s := range f.leader.Allocate(c.name, c.allocator.Demands(now), now) {
			shares[s.Workspace] = s.Tokens
		}
		c.allocator.SetBounds(shares)
		for i, b := range c.entries {
			b.SetShares("c", c.allocator.Allocate(fmt.Sprint(i), b.Demands("c", []corianderwing.WorkspaceID{shop}, now), now), until, now)
		}
		needs := c.reserve.Demands("reserve", []corianderwing.WorkspaceID{shop}, now)
		for _, n := range c.allocator.DemandsExcept("reserve", now) {
			needs[0].Rate = max(needs[0].Rate, ReserveFraction*n.Rate)
		}
		c.reserve.SetShares("reserve", c.allocator.Allocate("reserve", needs, now), until, now)
	}
}

// pick draws a control instance by weight. The weights add up to the number of
// control instances.
func (f *fleet) pick(r *rand.Rand, weights []float64) *control {
	x := r.Float64() * float64(len(weights))
	k := 0
	for k < len(weights)-1 && x > weights[k] {
		x -= weights[k]
		k++
	}
	return f.controls[k]
}

// admit reports whether a request at an entry instance is admitted.
func (f *fleet) admit(c *control, i int, now time.Time) bool {
	return c.entries[i].Take(shop, now) || c.reserve.Take(shop, now)
}

// Guards against refusing requests of a small workspace that stays far within
// its bound, but whose few requests are spread unevenly over many entry
// instances and move between regions.
func TestUnevenDemand(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	f := newFleet(86, []int{2, 2, 2, 1, 1, 1})
	weights := []float64{1, 1, 1, 1, 1, 1}
	asked, refused := 0, 0
	const step = 20 * time.Millisecond
	for at := time.Duration(0); at < 60*time.Second; at += step {
		now := begin.Add(at)
		if at%(400*time.Millisecond) == 0 {
			f.renewAll(now)
		}
		if at%(8*time.Second) == 0 {
			from, to := r.IntN(6), r.IntN(6)
			weights[to] += weights[from] * 0.7
			weights[from] *= 0.3
		}
		if at < 2*time.Second || r.Float64() >= 7*step.Seconds() {
			continue
		}
		c := f.pick(r, weights)
		asked++
		if !f.admit(c, r.IntN(len(c.entries)), now) {
			refused++
		}
	}
	t.Logf("%d of %d refused", refused, asked)
	is.True(float64(refused) < 0.01*float64(asked))
}

// Guards against a workspace that sends more than its bound and is admitted
// much less than the bound.
func TestSaturatedWorkspace(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 2))
	f := newFleet(86, []int{2, 2, 2, 1, 1, 1})
	var admitted []time.Duration
	const step = 20 * time.Millisecond
	for at := time.Duration(0); at < 40*time.Second; at += step {
		now := begin.Add(at)
		if at%(400*time.Millisecond) == 0 {
			f.renewAll(now)
		}
		if at < 2*time.Second || r.Float64() >= 45*step.Seconds() {
			continue
		}
		c := f.controls[r.IntN(6)]
		if f.admit(c, r.IntN(len(c.entries)), now) {
			admitted = append(admitted, at)
		}
	}
	late := 0
	for i, from := range admitted {
		n := 0
		for _, at := range admitted[i:] {
			if at-from < 5*time.Second {
				n++
			}
		}
		is.True(n <= 86)
		if from >= 20*time.Second {
			late++
		}
	}
	t.Logf("%d admitted in 20 s", late)
	is.True(float64(late) > 0.8*86*4)
}
