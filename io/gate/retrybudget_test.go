package gate

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against more retries at a pool than all instances together may send: each saves
// tokens while nothing fails, whatever the number of instances, and all of them spend
// these in one window.
func TestRetryBudgetsOfAllInstances(t *testing.T) {
	const (
		ratio   = 0.2
		seconds = 10 // length of a window
		calm    = 25 // seconds without failures before the window
	)
	for _, c := range []struct {
		name      string
		instances int
		perSecond int // requests to the pool
		slack     float64
	}{
		{"large site, busiest pool", 273, 1481, 586},
		{"small site, busiest pool", 12, 215, 64},
		{"small site, least busy pool", 12, 95, 64},
		{"large site, hardly any requests", 273, 27, 586},
		{"grown site, least slack for an instance", 83, 83, 206},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			budgets := make([]retryBudget, c.instances)
			for i := range budgets {
				budgets[i] = newRetryBudget(ratio)
			}
			start := time.Unix(1000, 0)
			arrival := func(n int) time.Time {
				return start.Add(time.Duration(n) * time.Second / time.Duration(c.perSecond))
			}
			for n := range c.perSecond * calm {
				budgets[n%c.instances].earn(arrival(n))
			}
			retries := 0
			for n := range c.perSecond * seconds {
				b, now := &budgets[n%c.instances], arrival(c.perSecond*calm+n)
				b.earn(now)
				if b.spend(now) {
					retries++
				}
			}
			bound := ratio*float64(c.perSecond*seconds) + c.slack
			t.Logf("%d retries, %.0f allowed", retries, bound)
			is.True(float64(retries) <= bound)
		})
	}
}

// Guards against a window in which the retries exceed the bound although they don't at a
// steady rate: the rates change and the traffic moves between instances, failures come and
// go. Each instance may exceed the ratio by its reserve.
func TestRetriesOfEveryWindow(t *testing.T) {
	const (
		ratio     = 0.2
		instances = 12
		step      = 100 * time.Millisecond
		steps     = 1200
		window    = 100 // steps
	)
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		var requests, retries [steps + 1]int // sums up to a step
		rates := make([]float64, instances)
		budgets := make([]retryBudget, instances)
		for i := range budgets {
			budgets[i] = newRetryBudget(ratio)
		}
		failing := false
		for n := range steps {
			if r.IntN(150) == 0 {
				failing = !failing
			}
			now := time.Unix(1000, 0).Add(time.Duration(n) * step)
			requests[n+1], retries[n+1] = requests[n], retries[n]
			for i := range budgets {
				if r.IntN(50) == 0 {
					rates[i] = 2 * r.Float64() * r.Float64() // requests in a step
				}
				for range int(rates[i] + r.Float64()) {
					budgets[i].earn(now)
					requests[n+1]++
					if failing && budgets[i].spend(now) {
						retries[n+1]++
					}
				}
			}
		}
		for end := window; end <= steps; end++ {
			most := 0 // requests in this window, half a window and a window before
			for _, e := range []int{end, end - window/2, end - window} {
				most = max(most, requests[max(0, e)]-requests[max(0, e-window)])
			}
			n, bound := retries[end]-retries[end-window], ratio*float64(most)+instances*retryReserve
			if float64(n) > bound {
				t.Fatalf("seed %d, window up to step %d: %d retries, %.0f allowed", seed, end, n, bound)
			}
		}
	}
}

// Guards against an instance with few requests that can never retry because its tokens
// expire before there is a whole one.
func TestRetryWithFewRequests(t *testing.T) {
	is := is.New(t)
	b := newRetryBudget(0.2)
	now := time.Unix(1000, 0)
	is.True(b.spend(now))
	for range 11 {
		now = now.Add(2 * retryTokenTTL)
		is.True(!b.spend(now))
		b.earn(now)
	}
	is.True(b.spend(now))
	is.True(!b.spend(now))
}

// Guards against tokens that outlive retryTokenTTL, and those that end far earlier.
func TestRetryTokensExpire(t *testing.T) {
	is := is.New(t)
	b := newRetryBudget(0.2)
	start := time.Unix(1000, 0)
	for range 100 {
		b.earn(start)
	}
	whole := func(age time.Duration) int { return int(b.available(start.Add(age)) + 0.5) }
	is.Equal(whole(0), 11)
	is.Equal(whole(retryTokenTTL-retryPeriod), 11)
	is.Equal(whole(retryTokenTTL), 1) // the reserve
}
