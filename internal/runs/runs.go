// Package runs runs randomised tests over many seeds.
package runs

import (
	"os"
	"runtime"
	"strconv"
	"sync"
)

// workers is the number of seeds that run at the same time.
const workers = 4

// FirstFailure calls f with n seeds from first on, and returns the lowest seed
// for which it fails. The environment variable CORIANDER_SEEDS replaces n;
// CORIANDER_SEED selects one seed.
func FirstFailure(first, n uint64, f func(seed uint64) error) (lowest uint64, failure error) {
	if v, err := strconv.ParseUint(os.Getenv("CORIANDER_SEEDS"), 10, 64); err == nil {
		n = v
	}
	if v, err := strconv.ParseUint(os.Getenv("CORIANDER_SEED"), 10, 64); err == nil {
		first, n = v, 1
	}
	var mu sync.Mutex
	next, end := first, first+n
	take := func() (uint64, bool) {
		mu.Lock()
		defer mu.Unlock()
		next++
		return next - 1, next-1 < end
	}
	fail := func(seed uint64, err error) {
		mu.Lock()
		defer mu.Unlock()
		if seed < end {
			end, lowest, failure = seed, seed, err
		}
	}
	var wg sync.WaitGroup
	for range min(workers, runtime.GOMAXPROCS(0)) {
		wg.Go(func() {
			for seed, ok := take(); ok; seed, ok = take() {
				if err := f(seed); err != nil {
					fail(seed, err)
				}
			}
		})
	}
	wg.Wait()
	return lowest, failure
}
