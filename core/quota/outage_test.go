package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// restartControls replaces the leader and all control instances by new ones
// without state, while the entry instances keep running.
func (f *fleet) restartControls(bound int, now time.Time) {
	f.leader = NewAllocator(window, now.Add(GracePeriod(window)))
	f.leader.SetBounds(bounds(bound))
	for _, c := range f.controls {
		c.allocator = NewAllocator(window, time.Time{})
		c.allocator.SetReserve("reserve")
		c.reserve = NewLimiter(window)
	}
}

// Guards against entry instances that refuse requests of a workspace within its
// bound while no control instance runs, and after all of them have restarted:
// the tokens must be at the instances where the requests arrive.
func TestLossOfAllControls(t *testing.T) {
	is := is.New(t)
	const (
		rate      = 16  // requests per second, the mean workspace of the smaller site
		bound     = 200 // two and a half times what the workspace uses in a window
		lostAt    = 20 * time.Second
		restartAt = 23 * time.Second
		step      = 20 * time.Millisecond
		count     = 20
	)
	asked, refused := [2]int{}, [2]int{} // while there are no control instances, and afterwards
	for seed := range uint64(count) {
		r := rand.New(rand.NewPCG(seed, 2))
		f := newFleet(bound, []int{2, 2, 2, 1, 1, 1})
		for at := time.Duration(0); at < 28*time.Second; at += step {
			now := begin.Add(at)
			if at == restartAt {
				f.restartControls(bound, now)
			}
			down := at >= lostAt && at < restartAt
			if !down && at%(400*time.Millisecond) == 0 {
				f.renewAll(now)
			}
			if r.Float64() >= rate*step.Seconds() {
				continue
			}
			c := f.controls[r.IntN(6)]
			i := r.IntN(len(c.entries))
			ok := false
			if down {
				ok = c.entries[i].Take(shop, now)
			} else {
				ok = f.admit(c, i, now)
			}
			if at < lostAt {
				continue
			}
			phase := 0
			if !down {
				phase = 1
			}
			asked[phase]++
			if !ok {
				refused[phase]++
			}
		}
	}
	t.Logf("%d of %d refused without control instances, %d of %d after it", refused[0], asked[0], refused[1], asked[1])
	is.True(float64(refused[0]) < 0.05*float64(asked[0]))
	is.True(float64(refused[1]) < 0.05*float64(asked[1]))
}

// Guards against refusals when a workspace starts to send: the first requests
// may arrive at any instance, and must not draw the tokens away from where the
// next ones arrive.
func TestDemandBegins(t *testing.T) {
	is := is.New(t)
	const (
		rate  = 16
		bound = 184 // the bound of a workspace whose limit is 1.6 times that rate
		step  = 20 * time.Millisecond
	)
	asked, refused := 0, 0
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 2))
		f := newFleet(bound, []int{2, 2, 2, 1, 1, 1})
		weights := []float64{1.7, 1, 1.5, 1, 0.3, 0.5}
		for at := -4 * time.Second; at < 5*time.Second; at += step {
			now := begin.Add(at)
			if at%(400*time.Millisecond) == 0 {
				f.renewAll(now)
			}
			if at < 0 || r.Float64() >= rate*step.Seconds() {
				continue
			}
			c := f.pick(r, weights)
			asked++
			if !f.admit(c, r.IntN(len(c.entries)), now) {
				refused++
			}
		}
	}
	t.Logf("%d of %d refused", refused, asked)
	is.True(float64(refused) < 0.01*float64(asked))
}
