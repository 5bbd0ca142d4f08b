package steer

import "corianderwing"

// regionShift is how many requests of a region the loans would move to or from other
// regions, and how many they may.
type regionShift struct {
	running float64 // requests that get a slot, per second
	joined  float64 // those that run in the region because of upstreams that joined; negative for upstreams that left
	net     float64 // those that will run in the region, beyond those that do now, when the loans have reached their targets
	moved   float64 // requests that change their region then
	limit   float64 // those of them that may change it now
}

// regionShifts returns the shift of each region. The part of its requests that may
// change the region is the given fraction, less what upstreams that joined or left have
// moved in the same direction and the ramp has not accounted for yet.
func (p *Planner) regionShifts(borrowers map[poolKey]*borrower, fraction float64) map[corianderwing.RegionID]*regionShift {
	shifts := map[corianderwing.RegionID]*regionShift{}
	for k, b := range borrowers {
		s := shifts[b.Region]
		if s == nil {
			s = &regionShift{}
			shifts[b.Region] = s
		}
		before, known := p.lastSlots[k]
		p.lastSlots[k] = b.Slots
		n := b.runningRequests()
		s.running += n
		if b.exempt {
			continue
		}
		own := b.ownFraction(b.current)
		s.net += n * (b.ownFraction(b.target) - own)
		s.moved += n * b.movedFraction()
		if known {
			s.joined += n * (own - b.withSlots(before).ownFraction(b.current))
		}
	}
	for region, s := range shifts {
		s.limit = max(0, fraction-p.unaccounted(region, s, fraction)) * s.running
	}
	return shifts
}

// unaccounted returns the fraction of a region's requests that upstreams which joined or
// left have moved in the direction in which the loans are about to move more. Each call
// accounts for one more step of it.
func (p *Planner) unaccounted(region corianderwing.RegionID, s *regionShift, step float64) float64 {
	if s.running == 0 {
		delete(p.joined, region)
		return 0
	}
	joined := p.joined[region] + s.joined/s.running
	joined -= min(step, max(-step, joined))
	p.joined[region] = joined
	switch {
	case joined > 0 && s.net > 0:
		return joined
	case joined < 0 && s.net < 0:
		return -joined
	}
	return 0
}
