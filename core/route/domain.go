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

// near is the difference in cost below which domains count as equal. Load
// reports are up to a second old, so a finer order would be noise, and all
// instances that followed it would move at the same time.
const near = 2 * time.Millisecond

// SortCandidates sorts candidates in place, the best one first: the own domain if it
// has spare capacity, otherwise by delay and expected wait. Service is the
// mean time for which a request holds a slot. Among near-equal domains the
// first one is drawn at random, weighted by spare capacity.
func SortCandidates(list []Candidate, service time.Duration, rng *rand.Rand) {
	for i := 1; i < len(list); i++ {
		for j := i; j > 0 && cost(list[j], service) < cost(list[j-1], service); j-- {
			list[j], list[j-1] = list[j-1], list[j]
		}
	}
	if len(list) < 2 || spareAtHome(list[0]) {
		return
	}
	best := cost(list[0], service)
	n, total := 0, 0
	for n < len(list) && cost(list[n], service)-best <= max(near, best/5) {
		total += list[n].FreeSlots() + 1
		n++
	}
	if n < 2 {
		return
	}
	draw := rng.IntN(total)
	for i := range list[:n] {
		if draw -= list[i].FreeSlots() + 1; draw < 0 {
			list[0], list[i] = list[i], list[0]
			return
		}
	}
}

func spareAtHome(c Candidate) bool { return c.Local && (!c.LoadKnown || c.FreeSlots() > 0) }

// cost estimates delay plus wait. A domain that reports nothing counts as one
// that is just full, so that it is tried before a queue and after free slots.
func cost(c Candidate, service time.Duration) time.Duration {
	if spareAtHome(c) {
		return 0
	}
	if !c.LoadKnown {
		return c.RTT + service
	}
	if c.Slots <= 0 {
		return c.RTT + time.Hour
	}
	over := int(c.Busy) + c.Waiting + 1 - int(c.Slots)
	if over <= 0 {
		return c.RTT
	}
	return c.RTT + time.Duration(over)*service/time.Duration(c.Slots)
}
