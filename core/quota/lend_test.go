package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lostControls is the load of a workspace during the loss of all control instances of a
// site with 90 entry instances: few tokens at each, and requests at any of them.
type lostControls struct {
	asked, refused int
	admitted       []time.Time
}

// run replays the load. A request without a token at its own instance asks up to the
// given number of neighbors.
func (x *lostControls) run(seed uint64, bound, neighbors int) {
	const (
		rate   = 16
		lostAt = 10 * time.Second
		step   = 20 * time.Millisecond
	)
	r := rand.New(rand.NewPCG(seed, 2))
	f := newFleet(bound, []int{15, 15, 15, 15, 15, 15})
	for at := time.Duration(0); at < lostAt+3*time.Second; at += step {
		now := begin.Add(at)
		if at < lostAt && at%(400*time.Millisecond) == 0 {
			f.renewAll(now)
		}
		if r.Float64() >= rate*step.Seconds() {
			continue
		}
		c := f.controls[r.IntN(len(f.controls))]
		i := r.IntN(len(c.entries))
		if at < lostAt {
			if f.admit(c, i, now) {
				x.admitted = append(x.admitted, now)
			}
			continue
		}
		ok := c.entries[i].Take(shop, now)
		for k := 1; !ok && k <= neighbors; k++ {
			ok = c.entries[(i+k)%len(c.entries)].Lend(shop, now)
		}
		x.asked++
		if !ok {
			x.refused++
			continue
		}
		x.admitted = append(x.admitted, now)
	}
}

// Guards against refusals while all control instances are lost although neighbors have
// idle tokens, and against lent tokens that exceed the bound.
func TestNeighborsLendDuringLoss(t *testing.T) {
	is := is.New(t)
	const bound = 200
	refused := map[int]float64{}
	for _, neighbors := range []int{0, 4} {
		sum := lostControls{}
		for seed := range uint64(20) {
			x := lostControls{}
			x.run(seed, bound, neighbors)
			first := 0
			for i, at := range x.admitted {
				for at.Sub(x.admitted[first]) >= window {
					first++
				}
				is.True(i-first < bound)
			}
			sum.asked, sum.refused = sum.asked+x.asked, sum.refused+x.refused
		}
		refused[neighbors] = float64(sum.refused) / float64(sum.asked)
		t.Logf("%d neighbors asked: %d of %d refused", neighbors, sum.refused, sum.asked)
	}
	is.True(refused[4] < 0.5*refused[0])
}

// Guards against a lender that gives away the tokens that its own callers need, and
// against lent tokens that it counts as its own demand.
func TestLenderKeepsWhatItNeeds(t *testing.T) {
	is := is.New(t)
	l := NewLimiter(window)
	is.True(!l.Lend(shop, begin)) // unknown workspace
	l.SetShares("c", []Share{{shop, 20}}, begin.Add(LeaseDuration), begin)
	now := begin
	for range 10 { // 10 requests per second
		now = now.Add(100 * time.Millisecond)
		is.True(l.Take(shop, now))
	}
	rate := l.accounts[shop].demandRate(now)
	lent := 0
	for l.Lend(shop, now) {
		lent++
	}
	is.Equal(lent, 10-int(rate*demandHorizon.Seconds()))
	is.Equal(l.accounts[shop].demandRate(now), rate)
	is.True(l.Take(shop, now))
	is.True(!l.Lend(shop, begin.Add(LeaseDuration))) // the share has expired
}
