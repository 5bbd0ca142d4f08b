package route

import (
	"math/rand/v2"
	"time"

	"corianderwing"
)

// Candidate is a failure domain that has upstreams of a pool.
type Candidate struct {
	Domain    corianderwing.DomainID
	Local     bool // the domain of this instance
	LoadKnown bool // Slots, Busy and Waiting are reported
	Slots     corianderwing.Slots
	Busy      corianderwing.Slots
	Waiting   int
	RTT       time.Duration // network round trip to the domain
}

// FreeSlots returns the reported slots that neither running nor queued
// requests need.
func (c Candidate) FreeSlots() int {
	return max(0, int(c.Slots-c.Busy)-c.Waiting)
}

// costTolerance is the cost difference below which domains count as equal.
// Load reports are up to one second old, so smaller differences are noise, and
// acting on them would make all instances switch domains at the same time.
const costTolerance = 2 * time.Millisecond

// SortCandidates sorts candidates in place, best first: the local domain if it
// has free slots, otherwise by round-trip time plus expected queueing time.
// Service is the mean time a request holds a slot. Among domains of about equal
// cost the first one is chosen at random, weighted by free slots.
func SortCandidates(list []Candidate, service time.Duration, rng *rand.Rand) {
	for i := 1; i < len(list); i++ {
		for j := i; j > 0 && estimateCost(list[j], service) < estimateCost(list[j-1], service); j-- {
			list[j], list[j-1] = list[j-1], list[j]
		}
	}
	if len(list) < 2 || localHasCapacity(list[0]) {
		return
	}
	best := estimateCost(list[0], service)
	n, total := 0, 0
	for n < len(list) && estimateCost(list[n], service)-best <= max(costTolerance, best/5) {
		total += list[n].FreeSlots() + 1
		n++
	}
	if n < 2 {
		return
	}
	remaining := rng.IntN(total)
	for i := range list[:n] {
		if remaining -= list[i].FreeSlots() + 1; remaining < 0 {
			list[0], list[i] = list[i], list[0]
			return
		}
	}
}

func localHasCapacity(c Candidate) bool { return c.Local && (!c.LoadKnown || c.FreeSlots() > 0) }

// estimateCost estimates round-trip time plus queueing time. A domain without a
// load report counts as just full, so it ranks after domains with free slots
// and before domains with a queue.
func estimateCost(c Candidate, service time.Duration) time.Duration {
	if localHasCapacity(c) {
		return 0
	}
	if !c.LoadKnown {
		return c.RTT + service
	}
	if c.Slots <= 0 {
		return c.RTT + time.Hour
	}
	excess := int(c.Busy) + c.Waiting + 1 - int(c.Slots)
	if excess <= 0 {
		return c.RTT
	}
	return c.RTT + time.Duration(excess)*service/time.Duration(c.Slots)
}
