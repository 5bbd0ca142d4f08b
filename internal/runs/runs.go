// Package runs executes randomized tests with many seeds in parallel.
package runs

import (
	"os"
	"runtime"
	"strconv"
	"sync"
)

// workers is the maximum number of seeds that run concurrently.
const workers = 4

// FirstFailure calls f with n consecutive seeds starting at first, and returns the
// lowest seed for which f fails and its error. The environment variable
// CORIANDER_SEEDS overrides n; CORIANDER_SEED runs only the given seed.
func FirstFailure(first, n uint64, f func(seed uint64) error) (lowest uint64, failure error) {
	if v, err := strconv.ParseUint(os.Getenv("CORIANDER_SEEDS"), 10, 64); err == nil {
		n = v
	}
	if v, err := strconv.ParseUint(os.Getenv("CORIANDER_SEED"), 10, 64); err == nil {
		first, n = v, 1
	}
	var mu sync.Mutex
	next, end := first, first+n
	nextSeed := func() (uint64, bool) {
		mu.Lock()
		defer mu.Unlock()
		next++
		return next - 1, next-1 < end
	}
	recordFailure := func(seed uint64, err error) {
		mu.Lock()
		defer mu.Unlock()
		if seed < end {
			end, lowest, failure = seed, seed, err
		}
	}
	var wg sync.WaitGroup
	for range min(workers, runtime.GOMAXPROCS(0)) {
		wg.Go(func() {
			for seed, ok := nextSeed(); ok; seed, ok = nextSeed() {
				if err := f(seed); err != nil {
					recordFailure(seed, err)
				}
			}
		})
	}
	wg.Wait()
	return lowest, failure
}
