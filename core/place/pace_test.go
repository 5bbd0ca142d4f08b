package place

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
)

// Guards against relying on a reported pace for longer than it holds, and against
// ignoring one that holds: the pace of these upstreams changes every 400 ms.
func TestPaceFades(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	m, last, now := paceMemory{}, paceReport{}, time.Unix(1000, 0)
	is.Equal(m.expect(last, 0), 1.0)
	paces := map[int64]float64{}
	for range 5000 {
		now = now.Add(time.Duration(1+rng.IntN(200)) * time.Millisecond)
		epoch := now.UnixMilli() / 400
		if paces[epoch] == 0 {
			paces[epoch] = 1 + float64(rng.IntN(2))
		}
		r := paceReport{paces[epoch], now}
		m.learn(last, r)
		last = r
	}
	slow := paceReport{2, now}
	is.True(m.expect(slow, 5*time.Millisecond) > 1.85)
	is.True(m.expect(slow, 100*time.Millisecond) < m.expect(slow, 5*time.Millisecond))
	is.Equal(m.expect(slow, time.Hour), m.mean)
	is.Equal(m.expect(slow, -time.Hour), m.expect(slow, 0)) // a clock that was set back
	is.Equal(m.expect(paceReport{}, 0), m.mean)
	m.learn(paceReport{1, now}, paceReport{paceOf(1 << 30), now})
	is.True(m.mean < 2)
}

// Guards against taking the slow moments of an upstream for the upstream being slow,
// which moves its objects elsewhere, and against missing an upstream that is slow
// without reporting it.
func TestSlowMomentIsNoSlowUpstream(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	p := New(Config{Name: "p", Domain: "a", RegionOf: func(corianderwing.DomainID) corianderwing.RegionID { return "r" }})
	set := Setup{Evacuated: func(corianderwing.DomainID) bool { return false }, Version: "v1"}
	ids := []corianderwing.UpstreamID{"reporting", "silent", "other1", "other2"}
	for _, id := range ids {
		set.Upstreams = append(set.Upstreams, &model.Upstream{Upstream: corianderwing.Upstream{
			ID: id, Domain: "a", Version: "v1", Slots: 4, Phase: corianderwing.Ready,
		}})
	}
	p.Sync(set, now)
	mistaken := 0
	for id := range ID(2000) {
		now = now.Add(20 * time.Millisecond)
		i := int(id) % len(ids)
		others := append(slices.Clone(ids[:i]), ids[i+1:]...)
		p.Submit(Request{ID: id, Class: "c", ExcludedUpstreams: others, Goal: now.Add(time.Minute), Deadline: now.Add(time.Hour)}, now)
		took, load := 100*time.Millisecond, LoadReport{Valid: true, WorkTime: 100}
		switch {
		case ids[i] == "silent":
			took *= 3
		case ids[i] == "reporting" && id/100%5 == 0: // every tenth second, for two
			took, load.WorkTime = 3*took, 300
		}
		now = now.Add(took / 100)
		p.Release(Outcome{ID: id, Result: Succeeded, Latency: took, Load: load}, now)
		if p.servers["reporting"].slowdownAt(now) > slowThreshold*p.servers["other1"].slowdownAt(now) {
			mistaken++
		}
	}
	is.Equal(mistaken, 0)
	is.True(p.servers["silent"].slowdownAt(now) > slowThreshold*p.servers["other1"].slowdownAt(now))
}
