package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
)

// loadedPool is a pool whose slots are all in use while many requests wait, as
// in a failure domain whose load is several times its capacity.
type loadedPool struct {
	pool *Pool
	rng  *rand.Rand
	now  time.Time
	next ID
	held []ID
}

const (
	loadedServers = 60
	loadedObjects = 600
	loadedWaiting = 60
)

func newLoadedPool() *loadedPool {
	c := &loadedPool{
		pool: New(Config{Name: "p", Domain: "a", RegionOf: func(corianderwing.DomainID) corianderwing.RegionID { return "r" }}),
		rng:  rand.New(rand.NewPCG(1, 2)),
		now:  time.Unix(1000, 0),
	}
	set := Setup{Evacuated: func(corianderwing.DomainID) bool { return false }, Version: "v1"}
	for i := range loadedServers {
		set.Upstreams = append(set.Upstreams, &model.Upstream{Upstream: corianderwing.Upstream{
			ID: corianderwing.UpstreamID(fmt.Sprintf("u-%d", i)), Domain: "a", Version: "v1", Slots: 4, Phase: corianderwing.Ready,
		}})
	}
	c.collectGrants(c.pool.Sync(set, c.now))
	for len(c.pool.queue) < loadedWaiting {
		c.step()
	}
	return c
}

func (c *loadedPool) collectGrants(list []Effect) {
	for _, e := range list {
		if e.Err == nil && e.ForwardTo == "" {
			c.held = append(c.held, e.ID)
		}
	}
}

// step submits a request, and completes one if the queue is long enough.
func (c *loadedPool) step() {
	c.now = c.now.Add(time.Millisecond)
	c.next++
	c.collectGrants(c.pool.Submit(Request{
		ID: c.next, Object: 1 + c.rng.Uint64N(loadedObjects), Class: "c",
		Goal: c.now.Add(2 * time.Second), Deadline: c.now.Add(8 * time.Second),
	}, c.now))
	if len(c.pool.queue) < loadedWaiting {
		return
	}
	i := c.rng.IntN(len(c.held))
	id := c.held[i]
	c.held[i] = c.held[len(c.held)-1]
	c.held = c.held[:len(c.held)-1]
	c.collectGrants(c.pool.Release(Outcome{ID: id, Result: Succeeded, Latency: 300 * time.Millisecond}, c.now))
}

// Guards against a pool that reconsiders every waiting request with all
// upstreams at every event. Under overload that takes all CPU time of a
// control instance, and its responses come late.
func TestOverloadRanksFewServers(t *testing.T) {
	is := is.New(t)
	c := newLoadedPool()
	before := c.pool.rankings
	const steps = 2000
	for range steps {
		c.step()
	}
	is.True(len(c.pool.queue) > loadedWaiting/2)
	is.True(float64(c.pool.rankings-before)/steps <= 4) // rankings of the upstreams per event
}

func BenchmarkOverload(b *testing.B) {
	c := newLoadedPool()
	b.ReportAllocs()
	for b.Loop() {
		c.step()
	}
}
