package agent

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/link"
)

const testCap = 10_000_000 // bytes/s

// startLinkAgents starts two agents of one region and waits until their shares
// of the link take effect.
func startLinkAgents(ctx context.Context) (*leader, []*Agent) {
	c := newLeader()
	c.renewDelay = 2 * time.Millisecond
	links := []corianderwing.LinkCap{{From: "x", To: "y", Cap: testCap, Group: "home", Domains: []corianderwing.DomainID{"x-a"}}}
	_, pool := link.Limits(testCap, 2)
	c.grantor.Configure(time.Now(), corianderwing.LinkBound("x", "y"), pool)
	var agents []*Agent
	for _, id := range []corianderwing.InstanceID{"i1", "i2"} {
		a := New(Config{Self: id, Incarnation: 1, Domain: "x-a", Region: "x", Groups: []corianderwing.GroupID{"home"}, Control: c, Links: links})
		agents = append(agents, a)
		go a.Run(ctx)
	}
	time.Sleep(10 * time.Second)
	return c, agents
}

// Guards against instances that together acquire more than the cap of a link,
// against acquisitions that leave most of it unused, and against a wait that
// outlasts its request.
func TestAgentsStayBelowLinkCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		_, agents := startLinkAgents(ctx)
		is.NoErr(agents[0].Reserve(ctx, "y", 100_000))
		agents[0].Release("y", 100_000)
		is.Equal(corianderwing.CodeOf(agents[0].Reserve(ctx, "z", 1)), corianderwing.LinkFull) // no link
		run, stop := context.WithTimeout(ctx, 10*time.Second)
		var mu sync.Mutex
		const rate = 0.9 * testCap
		level, least, sum, at := 0.1*rate, 0.0, 0.0, time.Now()
		for i := range 200 {
			go func() {
				for {
					n, err := agents[min(i, 1)].Acquire(run, "y", 32<<10) // one at i1, the others at i2
					if err != nil {
						return
					}
					mu.Lock()
					level = min(0.1*rate, level+rate*time.Since(at).Seconds()) - float64(n)
					at = time.Now()
					least = min(least, level)
					sum += float64(n)
					mu.Unlock()
				}
			}()
		}
		time.Sleep(time.Second)
		is.Equal(corianderwing.CodeOf(agents[1].Reserve(ctx, "y", 10<<20)), corianderwing.LinkFull)
		<-run.Done()
		stop()
		synctest.Wait()
		is.True(least >= 0) // no window has more than rate and burst
		t.Logf("%.0f%% of the rate was used", 100*sum/(10*rate))
		is.True(sum > 0.5*10*rate)
		cancel()
		synctest.Wait()
	})
}

// Guards against an instance that stops sending, or exceeds its fixed part,
// while its renewals fail.
func TestAgentUsesFixedPartWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		c, agents := startLinkAgents(ctx)
		c.set(&c.unreachable, true)
		time.Sleep(4 * time.Second) // grants have expired
		run, stop := context.WithTimeout(ctx, 10*time.Second)
		sum := 0.0
		for {
			n, err := agents[0].Acquire(run, "y", 32<<10)
			if err != nil {
				break
			}
			sum += float64(n)
		}
		stop()
		seat, _ := link.Limits(testCap, 2)
		most := (float64(seat.Rate)*10 + seat.Burst) * link.TokenBytes
		t.Logf("%.0f%% of the fixed part was used", 100*sum/most)
		is.True(sum <= most)
		is.True(sum > 0.9*most)
		cancel()
		synctest.Wait()
	})
}
