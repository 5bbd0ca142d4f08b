package model

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// Guards against a flooded upstream that became cold shortly before the evacuation of its
// failure domain ended: the end is in force before the heartbeat that says so.
func TestEvacuatedUpstreamReturnsCold(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	v := New()
	apply := func(c *Command) {
		t.Helper()
		next, err := v.Apply(c, now)
		is.NoErr(err)
		v = next
	}
	warmupUntil := func(id corianderwing.UpstreamID) time.Time {
		u, ok := v.Upstream(id)
		is.True(ok)
		return u.WarmupUntil
	}
	announce := func(id corianderwing.UpstreamID, d corianderwing.DomainID, addr string) {
		apply(&Command{Announce: []Announcement{{Upstream: corianderwing.Upstream{
			ID: id, Addr: addr, Pool: "files", Version: "v1", Domain: d, Incarnation: 7, Slots: 5, Phase: corianderwing.Ready,
		}}}})
	}
	apply(&Command{Edit: &corianderwing.Edit{Pools: []corianderwing.Pool{{Name: "files", Version: 1, MaxConns: 100, Protocol: "h1", Warmup: 3000, WarmupRate: 4}}}})
	announce("1", "a", "10.0.0.1:1")
	announce("2", "b", "10.0.0.2:1")
	apply(&Command{Evacuate: &Evacuation{Domain: "a", On: true}})
	now = now.Add(time.Minute)
	before := v
	apply(&Command{Evacuate: &Evacuation{Domain: "a"}})
	is.Equal(warmupUntil("1"), now.Add(3*time.Second))
	is.True(!warmupUntil("2").After(now)) // not evacuated
	unchanged, _ := before.Upstream("1")
	is.True(unchanged.WarmupUntil.IsZero())
	data, err := v.Save(now)
	is.NoErr(err)
	now = now.Add(time.Second)
	v, err = Load(data, now)
	is.NoErr(err)
	is.Equal(warmupUntil("1"), now.Add(3*time.Second))
	announce("1", "a", "10.0.0.1:1") // a heartbeat from before
	is.Equal(warmupUntil("1"), now.Add(3*time.Second))
}

// evacuatedView returns the view of an evacuated failure domain whose upstream, in a pool
// with a warm-up of 3 s, says that it stays cold for some time.
func evacuatedView(t *testing.T, cold corianderwing.Millis, now time.Time) *View {
	t.Helper()
	v := New()
	for _, c := range []*Command{
		{Edit: &corianderwing.Edit{Pools: []corianderwing.Pool{{Name: "files", Version: 1, MaxConns: 100, Protocol: "h1", Warmup: 3000, WarmupRate: 4}}}},
		{Announce: []Announcement{{
			Upstream: corianderwing.Upstream{
				ID: "1", Addr: "10.0.0.1:1", Pool: "files", Version: "v1", Domain: "a", Incarnation: 7, Slots: 5, Phase: corianderwing.Ready,
			},
			WarmupRemaining: cold,
		}}},
		{Evacuate: &Evacuation{Domain: "a", On: true}},
	} {
		next, err := v.Apply(c, now)
		if err != nil {
			t.Fatal(err)
		}
		v = next
	}
	return v
}

// Guards against allocators that go on with the upstreams of before the end of an
// evacuation: they read them from the list of their pool, which is kept between changes.
func TestEvacuatedUpstreamReturnsColdInPool(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	v := evacuatedView(t, 0, now)
	is.True(v.PoolUpstreams("files")[0].WarmupUntil.IsZero())
	next, err := v.Apply(&Command{Evacuate: &Evacuation{Domain: "a"}}, now)
	is.NoErr(err)
	is.Equal(next.PoolUpstreams("files")[0].WarmupUntil, now.Add(3*time.Second))
	is.True(v.PoolUpstreams("files")[0].WarmupUntil.IsZero())
}

// Guards against a flooded upstream whose cold start is longer than the warm-up of its
// pool: the end of an evacuation must not shorten it.
func TestEndOfEvacuationKeepsLongerWarmup(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	v := evacuatedView(t, 10_000, now)
	next, err := v.Apply(&Command{Evacuate: &Evacuation{Domain: "a"}}, now.Add(time.Second))
	is.NoErr(err)
	is.Equal(next.PoolUpstreams("files")[0].WarmupUntil, now.Add(10*time.Second))
}

// Guards against upstreams that get few requests for longer than they are cold: they have
// said so before the evacuation ends.
func TestEndOfEvacuationKeepsKnownWarmup(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	v := evacuatedView(t, 2000, now)
	next, err := v.Apply(&Command{Evacuate: &Evacuation{Domain: "a"}}, now.Add(time.Second))
	is.NoErr(err)
	is.Equal(next.PoolUpstreams("files")[0].WarmupUntil, now.Add(2*time.Second))
}
