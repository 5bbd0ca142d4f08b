package load

import (
	"context"
	"net/http"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"corianderwing"
	"corianderwing/io/conf"
)

// scenario has one workspace at five times its rate of 160 and one inside its
// rate of 700, with orders of which half are sent again.
func scenario(t *testing.T) (*Scenario, *conf.Config) {
	t.Helper()
	cfg, err := conf.Load("../../examples/threadworks.yaml")
	if err != nil {
		t.Fatal(err)
	}
	s := &Scenario{
		Name: "test",
		Seed: 7,
		Warm: 1,
		Time: 2,
		Mix: []Kind{
			{Name: "browse", Service: "motif-catalogue", Path: "/motifs", Weight: 9},
			{Name: "order", Service: "order-desk", Path: "/orders", Method: "POST", Body: 10, Order: true, Resend: 0.5},
		},
		Loads: []Load{
			{Name: "pai-valley", Times: 5},
			{Name: "andaman-pearl", Rate: 300, Burst: Burst{Every: 2, Count: 50}, Regions: map[corianderwing.RegionID]float64{"th-north": 3, "th-south": 1}},
		},
	}
	if err := s.Check(cfg); err != nil {
		t.Fatal(err)
	}
	return s, cfg
}

// run runs the scenario against a fake system in virtual time.
func run(t *testing.T, change func(*fakeSystem, *Scenario), check func(*is.I, *fakeSystem, *Result)) {
	t.Helper()
	s, cfg := scenario(t)
	synctest.Test(t, func(t *testing.T) {
		f := newFake(cfg)
		change(f, s)
		r, err := Run(t.Context(), s, cfg, WithTransport(f))
		if err != nil {
			t.Fatal(err)
		}
		r.Judge(t.Context(), cfg, &http.Client{Transport: f})
		check(is.New(t), f, r)
	})
}

// Guards against a plan that differs between runs, exceeds its bound, or has
// other rates, bursts and regions than the scenario.
func TestPlan(t *testing.T) {
	is := is.New(t)
	s, cfg := scenario(t)
	plan, err := s.Plan(cfg)
	is.NoErr(err)
	again, _ := s.Plan(cfg)
	is.True(reflect.DeepEqual(plan, again))
	s.Seed = 8
	other, _ := s.Plan(cfg)
	is.True(!reflect.DeepEqual(plan, other))
	var perLoad [2]int
	regions := map[corianderwing.RegionID]int{}
	var perEntry [4]int
	atBurst := 0
	for i, e := range plan {
		is.Equal(e.Number, i)
		perLoad[e.Load]++
		if e.Load == 1 {
			regions[e.Region]++
			perEntry[e.Entry]++
		}
		if e.At == 2*time.Second {
			atBurst++
		}
	}
	is.Equal(atBurst, 50)
	is.True(perLoad[0] > 2250 && perLoad[0] < 2550) // 800/s for 3 s
	is.True(perLoad[1] > 850 && perLoad[1] < 1050)  // 300/s for 3 s and a burst of 50
	is.Equal(regions["th-central"], 0)
	is.True(slices.Min(perEntry[:]) > 180) // of about 950
	is.True(regions["th-north"] > 2*regions["th-south"])
	s.Most = 1000
	_, err = s.Plan(cfg)
	is.True(err != nil)
}

// Guards against a judge that blames an ideal system, or that lets a workspace
// at several times its rate hide or cause wrongful refusals.
func TestIdealSystem(t *testing.T) {
	run(t, func(*fakeSystem, *Scenario) {}, func(is *is.I, f *fakeSystem, r *Result) {
		is.Equal(r.Sent, r.Planned)
		is.Equal(r.Total.Wrongful, 0)
		is.Equal(r.Total.Failed, 0)
		is.Equal(r.Workspaces[0].Over, 0.0)
		is.Equal(r.Workspaces[1].Refused, 0)
		is.True(r.Workspaces[0].Refused > 1000)
		is.Equal(r.Worst, 1.0)
		is.Equal(r.Workspaces[1].P99, int64(10007)) // 10 ms, to 3 digits
		is.True(r.Orders.Judged)
		is.True(r.Orders.Resent > 50)
		is.Equal(r.Orders.Doubled+r.Orders.Untrue+r.Orders.Missing, 0)
		is.Equal(len(r.Broken()), 0)
		is.True(f.lookups <= 12+8) // each caller, next to 12 and 8 entry instances, looks up once in 4 to 5 s
	})
}

// Guards against wrongful refusals, excess, foreign answers and doubled orders
// that go uncounted.
func TestFaultySystem(t *testing.T) {
	refuse := func(f *fakeSystem, s *Scenario) {
		s.Loads = s.Loads[1:]
		s.Warm = 0
		f.decide = func(n int) corianderwing.Code {
			if n%50 == 0 {
				return corianderwing.RateExceeded
			}
			return 0
		}
	}
	run(t, refuse, func(is *is.I, f *fakeSystem, r *Result) {
		is.Equal(r.Total.Wrongful, r.Codes["overrate"])
		is.Equal(r.Total.Wrongful, r.Total.Refused)
		is.True(r.Total.Wrongful > 8) // one of 50, but for second copies
		is.True(r.Worst < 1)
	})
	admitAll := func(f *fakeSystem, _ *Scenario) { f.buckets["pai-valley"] = newBucket(1e6, 1e6) }
	run(t, admitAll, func(is *is.I, f *fakeSystem, r *Result) {
		is.True(r.Workspaces[0].Over > 1500) // 640/s beyond the rate for 3 s
	})
	run(t, func(f *fakeSystem, _ *Scenario) { f.twice = true }, func(is *is.I, f *fakeSystem, r *Result) {
		is.True(r.Orders.Doubled > 10)
		is.True(strings.HasPrefix(r.Broken()[0], "I10"))
	})
	run(t, func(f *fakeSystem, _ *Scenario) { f.foreign = true }, func(is *is.I, f *fakeSystem, r *Result) {
		is.Equal(r.Total.Good, 0)
		is.True(strings.HasPrefix(r.Broken()[0], "I8"))
	})
	run(t, func(f *fakeSystem, s *Scenario) { f.dead["127.0.0.1:22003"] = true }, func(is *is.I, f *fakeSystem, r *Result) {
		is.Equal(r.Upstreams.Silent, 1)
		is.True(!r.Orders.Judged)
	})
}

// Guards against callers that stay with an instance that is gone or stopping,
// and against second copies of orders that go to the same instance.
func TestAlternates(t *testing.T) {
	run(t, func(f *fakeSystem, _ *Scenario) { f.dead["127.0.0.1:21100"] = true }, func(is *is.I, f *fakeSystem, r *Result) {
		is.Equal(r.Total.Failed, 0)
		is.Equal(f.served["127.0.0.1:21100"], 0)
	})
	run(t, func(f *fakeSystem, _ *Scenario) { f.stopping["127.0.0.1:21100"] = true }, func(is *is.I, f *fakeSystem, r *Result) {
		is.Equal(r.Codes["stopping"], 0)
		is.True(f.served["127.0.0.1:21110"] > 800)
	})
	run(t, func(*fakeSystem, *Scenario) {}, func(is *is.I, f *fakeSystem, r *Result) {
		is.True(r.Orders.Resent > 50)
		is.True(f.served["127.0.0.1:21110"] > 50) // second copies
		is.Equal(f.served["127.0.0.1:21120"], 0)
	})
}

// Guards against a run that queues requests when too many are under way,
// which would turn the open loop into a closed one.
func TestFlightLimit(t *testing.T) {
	run(t, func(_ *fakeSystem, s *Scenario) { s.Flight = 1 }, func(is *is.I, f *fakeSystem, r *Result) {
		is.True(r.Codes["unsent"] > 1000)
		is.Equal(r.Codes["unsent"]+r.Total.Good+r.Codes["overrate"], r.Total.Sent)
	})
}

// Guards against a stopped run that loses what it has.
func TestStop(t *testing.T) {
	s, cfg := scenario(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		r, err := Run(ctx, s, cfg, WithTransport(newFake(cfg)))
		is.NoErr(err)
		is.True(r.Sent < r.Planned && r.Sent > 1000)
		is.True(r.Total.Good > 0)
	})
}

// Guards against columns and figures of results that change unnoticed, and
// against results that cannot be read back.
func TestText(t *testing.T) {
	run(t, func(*fakeSystem, *Scenario) {}, func(is *is.I, _ *fakeSystem, before *Result) {
		goldie.New(t).Assert(t, "result", []byte(before.Text()))
		path := filepath.Join(t.TempDir(), "result.json")
		is.NoErr(before.Write(path))
		after, err := ReadResult(path)
		is.NoErr(err)
		is.Equal(after.Text(), before.Text())
		after.Workspaces[1].P99 *= 2
		after.Orders.Doubled = 1
		goldie.New(t).Assert(t, "compare", []byte(Compare(before, after)))
	})
}

// Guards against scenarios whose faults are found one at a time or at run
// time.
func TestCheck(t *testing.T) {
	is := is.New(t)
	_, cfg := scenario(t)
	s := &Scenario{Time: -1, Loads: []Load{
		{Name: "nobody", Rate: 1, Times: 2},
		{Name: "pai-valley", Mix: []Kind{{Path: "x", Resend: 2}}, Regions: map[corianderwing.RegionID]float64{"mars": 1}},
		{Name: "pai-valley", Mix: []Kind{{Service: "s", Path: "/"}}, Regions: map[corianderwing.RegionID]float64{"th-north": 0}},
	}}
	err := s.Check(cfg)
	is.True(err != nil)
	goldie.New(t).Assert(t, "check", []byte(err.Error()+"\n"))
}

// Guards against example scenarios that do not fit the example settings.
func TestExamples(t *testing.T) {
	for _, name := range []string{"threadworks", "mvule"} {
		is := is.New(t)
		s, cfg, err := Read("../../examples/" + name + "-load.yaml")
		is.NoErr(err)
		plan, err := s.Plan(cfg)
		is.NoErr(err)
		is.True(len(plan) > 1000)
	}
}
