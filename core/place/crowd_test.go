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

// crowd is a pool whose slots are all in use while many requests wait, as in a
// failure domain that gets several times what its upstreams bear.
type crowd struct {
	pool *Pool
	rng  *rand.Rand
	now  time.Time
	next ID
	held []ID
}

const (
	crowdServers = 60
	crowdObjects = 600
	crowdWaiting = 60
)

func newCrowd() *crowd {
	c := &crowd{
		pool: New(Config{Name: "p", Domain: "a", RegionOf: func(corianderwing.DomainID) corianderwing.RegionID { return "r" }}),
		rng:  rand.New(rand.NewPCG(1, 2)),
		now:  time.Unix(1000, 0),
	}
	set := Setup{Evacuated: func(corianderwing.DomainID) bool { return false }, Version: "v1"}
	for i := range crowdServers {
		set.Upstreams = append(set.Upstreams, &model.Upstream{Upstream: corianderwing.Upstream{
			ID: corianderwing.UpstreamID(fmt.Sprintf("u-%d", i)), Domain: "a", Version: "v1", Slots: 4, Phase: corianderwing.Ready,
		}})
	}
	c.take(c.pool.Sync(set, c.now))
	for len(c.pool.queue) < crowdWaiting {
		c.step()
	}
	return c
}

func (c *crowd) take(list []Effect) {
	for _, e := range list {
		if e.Err == nil && e.ForwardTo == "" {
			c.held = append(c.held, e.ID)
		}
	}
}

// step lets a request arrive, and one end if more wait than usual.
func (c *crowd) step() {
	c.now = c.now.Add(time.Millisecond)
	c.next++
	c.take(c.pool.Submit(Request{
		ID: c.next, Object: 1 + c.rng.Uint64N(crowdObjects), Class: "c",
		Goal: c.now.Add(2 * time.Second), Deadline: c.now.Add(8 * time.Second),
	}, c.now))
	if len(c.pool.queue) < crowdWaiting {
		return
	}
	i := c.rng.IntN(len(c.held))
	id := c.held[i]
	c.held[i] = c.held[len(c.held)-1]
	c.held = c.held[:len(c.held)-1]
	c.take(c.pool.Release(Outcome{ID: id, Result: Succeeded, Latency: 300 * time.Millisecond}, c.now))
}

// Guards against a pool that looks at every waiting request anew, with all
// upstreams, at every event: in a crowd that takes the whole processor of a
// control instance, and its answers come late.
func TestCrowdLooksAtFew(t *testing.T) {
	is := is.New(t)
	c := newCrowd()
	before := c.pool.rankings
	const steps = 2000
	for range steps {
		c.step()
	}
	is.True(len(c.pool.queue) > crowdWaiting/2)
	is.True(float64(c.pool.rankings-before)/steps <= 4) // orders of upstreams for each event
}

func BenchmarkCrowd(b *testing.B) {
	c := newCrowd()
	b.ReportAllocs()
	for b.Loop() {
		c.step()
	}
}
