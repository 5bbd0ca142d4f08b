package place

import (
	"math/bits"
	"time"

	"corianderwing"
)

// The pace of an upstream is how long work takes there at a moment, relative to the
// usual. Upstreams that share their machines with others report it with responses.
// It may change many times between two requests, so a report is worth less with its
// age. How fast it loses its worth is learned from successive reports: if they
// resemble each other little after an interval, a report of that age is close to
// worthless, and the mean pace of the pool is expected instead.

const (
	// firstPaceAge is the end of the first interval of ages. Each further interval
	// ends at twice the age. Reports older than the last one are worthless.
	firstPaceAge = 10 * time.Millisecond
	numPaceAges  = 10
	// minPaceSamples is the number of pairs of reports from which the worth at an
	// age is estimated. Until then it is 0.
	minPaceSamples = 20
	// paceSmoothing is the weight of a new pair of reports.
	paceSmoothing = 0.02
	// maxPace bounds a single report, so that one upstream cannot move the mean and
	// the worth for all others.
	maxPace = 10.0
)

// paceReport is the pace that an upstream reported last.
type paceReport struct {
	pace float64 // 0 if none was reported
	at   time.Time
}

// paceMemory estimates for a pool how long a reported pace holds.
type paceMemory struct {
	mean  float64 // of all reports; 0 without any
	worth [numPaceAges]paceWorth
}

// paceWorth compares pairs of reports of about the same interval, by their
// deviations from the mean.
type paceWorth struct {
	samples int
	product float64 // of the two deviations
	square  float64 // of the first deviation
}

func paceAge(age time.Duration) int { return bits.Len64(uint64(max(age, 0) / firstPaceAge)) }

// paceOf returns a reported work time as a pace, or 0 if none was reported.
func paceOf(t corianderwing.Percent) float64 {
	if t <= 0 {
		return 0
	}
	return min(float64(t)/100, maxPace)
}

// learn updates the estimate from a report that follows an earlier one of the same
// upstream.
func (m *paceMemory) learn(before, r paceReport) {
	if m.mean == 0 {
		m.mean = r.pace
	}
	m.mean += (r.pace - m.mean) * paceSmoothing
	i := paceAge(r.at.Sub(before.at))
	if before.pace == 0 || i >= numPaceAges {
		return
	}
	w := &m.worth[i]
	w.samples = min(w.samples+1, minPaceSamples)
	first, second := before.pace-m.mean, r.pace-m.mean
	w.product += (first*second - w.product) * paceSmoothing
	w.square += (first*first - w.square) * paceSmoothing
}

// worthAt returns how much of a deviation from the mean is left after some time, from
// 0 to 1.
func (m *paceMemory) worthAt(age time.Duration) float64 {
	i := paceAge(age)
	if i >= numPaceAges || m.worth[i].samples < minPaceSamples || m.worth[i].square == 0 {
		return 0
	}
	return min(max(m.worth[i].product/m.worth[i].square, 0), 1)
}

// expect returns the pace to be expected some time after a report, or 1 if nobody
// reports one.
func (m *paceMemory) expect(r paceReport, age time.Duration) float64 {
	switch {
	case m.mean == 0:
		return 1
	case r.pace == 0:
		return m.mean
	}
	return m.mean + (r.pace-m.mean)*m.worthAt(age)
}

// observePace learns from the pace that an upstream reports.
func (p *Pool) observePace(s *server, r LoadReport, now time.Time) {
	pace := paceOf(r.WorkTime)
	if !r.Valid || pace == 0 {
		return
	}
	before := s.pace
	s.pace = paceReport{pace, now}
	p.pace.learn(before, s.pace)
}

// expectedPace returns the pace to be expected at an upstream now.
func (p *Pool) expectedPace(s *server, now time.Time) float64 {
	return p.pace.expect(s.pace, now.Sub(s.pace.at))
}

// paceDuring estimates the pace at which a completed attempt ran, from the report at
// its start and the one with its response, whichever is worth more.
func (p *Pool) paceDuring(h *activeGrant, now time.Time) float64 {
	after := paceReport{}
	if h.server.pace.at.Equal(now) {
		after = h.server.pace
	}
	took := now.Sub(h.at)
	if after.pace > 0 && p.pace.worthAt(took) > h.paceWorth {
		return p.pace.expect(after, took)
	}
	return h.pace
}
