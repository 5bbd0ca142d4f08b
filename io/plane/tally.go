package plane

import (
	"time"

	"corianderwing"
	"corianderwing/io/alloc"
	"corianderwing/io/clock"
)

// tallyInterval is how often the decisions of the allocators are logged.
const tallyInterval = time.Second

// tallyLoop logs what the allocators decided, while they decide anything.
func (p *Plane) tallyLoop() {
	for clock.Sleep(p.ctx, tallyInterval) {
		p.allocators.forEach(func(domain corianderwing.DomainID, a *alloc.Allocator) {
			t := a.TakeTally()
			if t == (alloc.Tally{}) {
				return
			}
			p.log.Info().Str("domain", string(domain)).Int("granted", t.Granted).Int("refused", t.Refused).Int("forwarded", t.Forwarded).
				Int("canceled", t.Canceled).Any("loads", a.Loads()).Msg("slots allocated")
		})
	}
}
