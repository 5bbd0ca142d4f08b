package route

import (
	"math/rand/v2"
	"time"

	"corianderwing"
)

// Candidate is a failure domain that has upstreams of a pool.
type Candidate struct {
	Domain    corianderwing.DomainID
	Local     bool
	LoadKnown bool // Slots, Busy and Waiting are reported
	Slots     corianderwing.Slots
	Busy      corianderwing.Slots
	Waiting   int
	RTT       time.Duration // there and back
}

// FreeSlots returns the reported free slots.
func (c Candidate) FreeSlots() int {
	return max(0, int(c.Slots-c.Busy)-c.Waiting)
}

// costTolerance is the difference in cost below which domains count as equal. Load
// reports are up to a second old, so a finer order would be noise, and all
// instances that followed it would move at the same time.
const costTolerance = 2 * time.Millisecond

// SortCandidates sorts candidates in place, the best one first: the own domain if it
// has spare capacity, otherwise by delay and expected wait. Service is the
// mean time for which a request holds a slot. Among near-equal domains the
// first one is drawn at random, weighted by spare capacity.
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

// estimateCost estimates delay plus wait. A domain that reports nothing counts as one
// that is just full, so that it is tried before a queue and after free slots.
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
