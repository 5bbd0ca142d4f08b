package load

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"corianderwing"
	"corianderwing/io/conf"
)

// Event is one planned request.
type Event struct {
	At     time.Duration // after the start of the run
	Load   int           // index of the workspace's load
	Kind   int           // index into its mix
	Number int           // in the order of the plan, from 0
	Region corianderwing.RegionID
	Entry  int // of the region's entry instances, the one that the caller asks first
	Resend resend
	Gap    time.Duration // with resendNow: from the first copy to the second
}

// resend tells how an order is sent a second time.
type resend uint8

const (
	resendNot   resend = iota
	resendAfter        // after the first answer
	resendNow          // while the first copy is under way
)

// maxGap bounds the time between two copies of an order that overlap, such as
// those of a double click that take different ways.
const maxGap = 2 * time.Millisecond

// Plan returns the requests of a run in the order of their times. Equal
// scenarios and settings give equal plans.
func (s *Scenario) Plan(cfg *conf.Config) ([]Event, error) {
	var plan []Event
	end := seconds(s.Warm + s.Time)
	for i := range s.Loads {
		// A source of its own for each workspace keeps the others unchanged
		// when one of them is edited.
		p := &planner{rand: rand.New(rand.NewPCG(s.Seed, uint64(i))), load: i, spec: s.Loads[i]}
		p.weigh(cfg)
		plan = append(plan, p.arrivals(end, s.Most+1)...)
		if len(plan) > s.Most {
			return nil, fmt.Errorf("scenario %s plans more than %d requests; raise most or shorten it", s.Name, s.Most)
		}
	}
	slices.SortStableFunc(plan, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Load, b.Load))
	})
	for i := range plan {
		plan[i].Number = i
	}
	return plan, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// planner plans the requests of one workspace.
type planner struct {
	rand    *rand.Rand
	load    int
	spec    Load
	regions []corianderwing.RegionID
	weights []float64 // of regions
	entries []int     // entry instances of regions
	kinds   []float64 // weights of the mix
}

func (p *planner) weigh(cfg *conf.Config) {
	for _, r := range cfg.Regions {
		weight, given := p.spec.Regions[r.Name]
		if !given && len(p.spec.Regions) == 0 && len(entries(cfg, r.Name)) > 0 {
			weight = 1
		}
		p.regions = append(p.regions, r.Name)
		p.weights = append(p.weights, weight)
		p.entries = append(p.entries, len(entries(cfg, r.Name)))
	}
	for _, k := range p.spec.Mix {
		p.kinds = append(p.kinds, k.Weight)
	}
}

// arrivals draws a Poisson process and adds the bursts.
func (p *planner) arrivals(end time.Duration, most int) []Event {
	var all []Event
	if p.spec.Rate > 0 {
		for at := p.gap(); at < end && len(all) < most; at += p.gap() {
			all = append(all, p.event(at))
		}
	}
	if p.spec.Burst.Count == 0 {
		return all
	}
	every := seconds(p.spec.Burst.Every)
	for at := every; at < end && len(all) < most; at += every {
		for range p.spec.Burst.Count {
			all = append(all, p.event(at))
		}
	}
	return all
}

func (p *planner) gap() time.Duration {
	return max(seconds(p.rand.ExpFloat64()/p.spec.Rate), time.Nanosecond)
}

func (p *planner) event(at time.Duration) Event {
	e := Event{At: at, Load: p.load}
	e.Kind = p.pick(p.kinds)
	region := p.pick(p.weights)
	e.Region = p.regions[region]
	e.Entry = p.rand.IntN(p.entries[region])
	if x := p.rand.Float64(); x < p.spec.Mix[e.Kind].Resend {
		e.Resend = resendAfter
		if x < p.spec.Mix[e.Kind].Resend/2 {
			e.Resend = resendNow
			e.Gap = time.Duration(p.rand.Int64N(int64(maxGap)))
		}
	}
	return e
}

// pick draws an index by weight. One weight at least must be above 0.
func (p *planner) pick(weights []float64) int {
	var sum float64
	for _, w := range weights {
		sum += w
	}
	x := p.rand.Float64() * sum
	last := 0
	for i, w := range weights {
		if w == 0 {
			continue
		}
		if x < w {
			return i
		}
		x -= w
		last = i
	}
	return last // x was rounded up
}
