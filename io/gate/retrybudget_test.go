package gate

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against more retries at a pool than all instances together may send: each saves
// up to maxRetryTokens, whatever the number of instances, and spends them in one window.
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
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			budgets := make([]retryBudget, c.instances)
			for i := range budgets {
				budgets[i] = newRetryBudget(ratio)
			}
			for n := range c.perSecond * calm {
				budgets[n%c.instances].earn()
			}
			retries := 0
			for n := range c.perSecond * seconds {
				b := &budgets[n%c.instances]
				b.earn()
				if b.spend() {
					retries++
				}
			}
			bound := ratio*float64(c.perSecond*seconds) + c.slack
			t.Logf("%d retries, %.0f allowed", retries, bound)
			is.True(float64(retries) <= bound)
		})
	}
}
