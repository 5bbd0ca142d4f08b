package steer

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

var epoch = time.Unix(1000, 0)

// load returns a load of a domain whose region is the first letter of its
// name.
func load(domain string, slots, demand float64) Load {
	return Load{
		Pool: "files", Domain: corianderwing.DomainID(domain), Region: corianderwing.RegionID(domain[:1]),
		Slots: slots, Demand: demand, ArrivalRate: 10 * demand,
	}
}

// updateFor updates a planner with constant loads for some seconds.
func updateFor(p *Planner, from time.Time, seconds int, loads ...Load) (loans []Loan, now time.Time) {
	now = from
	for range seconds * 5 {
		now = now.Add(200 * time.Millisecond)
		loans = p.Update(loads, now)
	}
	return loans, now
}

func totalBorrowed(loans []Loan, borrower corianderwing.DomainID) int {
	n := 0
	for _, l := range loans {
		if l.Borrower == borrower {
			n += l.Slots
		}
	}
	return n
}

// Guards against a domain that rejects requests while another one has idle
// slots.
func TestBorrowsSpareSlots(t *testing.T) {
	is := is.New(t)
	loans, _ := updateFor(New(), epoch, 20, load("a1", 10, 15.6), load("b1", 20, 3))
	is.Equal(loans, []Loan{{"files", "b1", "a1", 10}})
}

// Guards against loans that end because a new leader, or another control
// instance for a domain, has not yet received the loads of all domains.
func TestKeepsLoansWithoutReports(t *testing.T) {
	is := is.New(t)
	full, room := load("a1", 10, 15.6), load("b1", 20, 3)
	loans, now := updateFor(New(), epoch, 20, full, room)

	next := New()
	next.Restore(loans)
	is.Equal(next.Update([]Load{room}, now), loans)
	is.Equal(next.Update([]Load{full}, now.Add(200*time.Millisecond)), loans)
	is.Equal(next.Update([]Load{full, room}, now.Add(400*time.Millisecond)), loans)

	loans, _ = updateFor(next, now, 30, room)
	is.Equal(len(loans), 0) // the loans expire without reports
}

// Guards against sudden load on caches and links in other regions: the
// fraction of a region's requests that runs there must change slowly.
func TestLoansRampSlowly(t *testing.T) {
	is := is.New(t)
	p := New()
	_, now := updateFor(p, epoch, 10, load("a1", 10, 5), load("b1", 20, 3))
	before := 0
	for range 50 {
		now = now.Add(200 * time.Millisecond)
		n := totalBorrowed(p.Update([]Load{load("a1", 10, 20), load("b1", 20, 3)}, now), "a1")
		is.True(float64(n-before)/20 <= maxShiftPerSecond*0.2+0.05) // rounded to whole slots of 20
		before = n
	}
	is.True(before >= 10)
}

// Guards against a ramp for requests whose own upstreams are lost.
func TestLossSkipsRamp(t *testing.T) {
	is := is.New(t)
	p := New()
	_, now := updateFor(p, epoch, 10, load("a1", 10, 5), load("b1", 20, 3))
	loans := p.Update([]Load{load("a1", 2, 5), load("b1", 20, 3)}, now.Add(200*time.Millisecond))
	is.True(totalBorrowed(loans, "a1") >= 4)
}

// Guards against loans of more slots than an upstream has, and against an
// assignment that changes while the loans stay the same.
func TestAssignIsStable(t *testing.T) {
	is := is.New(t)
	ups := []corianderwing.Upstream{
		{ID: "u1", Pool: "files", Domain: "b1", Slots: 4},
		{ID: "u2", Pool: "files", Domain: "b1", Slots: 4},
		{ID: "u3", Pool: "files", Domain: "c1", Slots: 4},
	}
	usable := func(corianderwing.PoolID) []corianderwing.Upstream { return ups }
	loans := []Loan{{"files", "b1", "a1", 5}, {"files", "b1", "a2", 6}}
	assigned := Assign(loans, usable)
	slots := map[corianderwing.UpstreamID]int{}
	for _, l := range assigned {
		slots[l.Upstream] += l.Slots
	}
	is.Equal(slots, map[corianderwing.UpstreamID]int{"u1": 4, "u2": 4})
	for range 10 {
		is.Equal(Assign(loans, usable), assigned)
	}
}

// Guards against a region with few upstreams of its own that rejects a part of
// its requests for seconds after a total loss, because its first few requests
// used up the startup period in which loans may change at once.
func TestSuspendRamp(t *testing.T) {
	is := is.New(t)
	borrowed := func(free bool) int {
		p := New()
		now := time.Unix(1000, 0)
		if free {
			p.SuspendRamp(now.Add(5 * time.Second))
		}
		n := 0
		for i := range 10 {
			demand := 1.0 // most requests are still rejected for other reasons
			if i >= 8 {
				demand = 10
			}
			n = 0
			for _, l := range p.Update([]Load{
				{Pool: "files", Domain: "a1", Region: "a", Slots: 4, Demand: demand, ArrivalRate: 10 * demand},
				{Pool: "files", Domain: "b1", Region: "b", Slots: 16, Demand: 2, ArrivalRate: 20},
			}, now) {
				n += l.Slots
			}
			now = now.Add(400 * time.Millisecond)
		}
		return n
	}
	is.True(borrowed(false) < 4)
	is.True(borrowed(true) >= 8)
}

// Guards against a domain with few upstreams and many requests that is served
// far worse than the others when slots are scarce. By the normal thresholds no
// domain has slots to spare then, and it got none.
func TestScarceSlotsFollowDemand(t *testing.T) {
	is := is.New(t)
	loads := []Load{
		load("a1", 40, 90), load("a2", 40, 85),
		load("b1", 160, 140), load("b2", 165, 145),
		load("c1", 190, 165), load("c2", 190, 160),
	}
	loans, _ := updateFor(New(), epoch, 60, loads...)
	least, most := 10.0, 0.0
	for _, l := range loads {
		slots := l.Slots
		for _, n := range loans {
			if n.Borrower == l.Domain {
				slots += float64(n.Slots)
			}
			if n.Lender == l.Domain {
				slots -= float64(n.Slots)
			}
		}
		least, most = min(least, slots/l.Demand), max(most, slots/l.Demand)
	}
	is.True(least >= 0.9*most)
}

// Guards against a domain with few upstreams that serves its requests late and
// sends them all over its region, because its objects exceed its caches, while
// upstreams of other regions idle.
func TestBorrowsEarlyWhileOthersIdle(t *testing.T) {
	is := is.New(t)
	loans, _ := updateFor(New(), epoch, 20, load("a1", 10, 6.5), load("b1", 40, 4))
	is.Equal(totalBorrowed(loans, "a1"), 3) // its utilization falls to 0.5
	// While most slots are in use, early loans would evict the objects of the lender.
	loans, _ = updateFor(New(), epoch, 20, load("a1", 10, 6.5), load("b1", 10, 4.5))
	is.Equal(totalBorrowed(loans, "a1"), 0)
}

// Guards against a region whose requests move to other regions, or back, too
// fast. In overload many requests arrive and few get a slot, and the slots lent
// by other regions are soon a large part of those.
func TestRunningRequestsMoveSlowly(t *testing.T) {
	is := is.New(t)
	p := New()
	_, now := updateFor(p, epoch, 10, load("a1", 40, 20), load("b1", 200, 20))
	var elsewhere []float64 // fraction of the running requests that run elsewhere, five a second
	play := func(seconds int, demand float64) {
		for range seconds * 5 {
			now = now.Add(200 * time.Millisecond)
			n := float64(totalBorrowed(p.Update([]Load{load("a1", 40, demand), load("b1", 200, 20)}, now), "a1"))
			elsewhere = append(elsewhere, n/(40+n))
		}
	}
	play(12, 120)
	is.True(elsewhere[len(elsewhere)-1] > 0.5)
	play(20, 5)
	is.Equal(elsewhere[len(elsewhere)-1], 0.0)
	const (
		window   = 10 // 2 s
		maxMoved = 0.15
	)
	mean := func(list []float64) float64 {
		sum := 0.0
		for _, v := range list {
			sum += v / float64(len(list))
		}
		return sum
	}
	for i := window; i+window <= len(elsewhere); i++ {
		moved := mean(elsewhere[i:i+window]) - mean(elsewhere[i-window:i])
		is.True(math.Abs(moved) <= maxMoved)
	}
}
