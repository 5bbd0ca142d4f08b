package shift

import "math"

const (
	// falsePositiveRate bounds the probability that one test ever reports a
	// fault of a version without one. A route has three tests, so a move over r
	// routes is rolled back wrongly with a probability of at most
	// 3·r·falsePositiveRate.
	falsePositiveRate = 1e-4

	// The new version counts as worse if its rate exceeds that of the old one by
	// more than the margin.
	errorMargin  = 0.005
	medianMargin = 0.15 // for requests above the old version's median latency
	tailMargin   = 0.05 // for requests above the old version's 95th percentile
	lateMargin   = 0.1  // for requests that took much longer than expected

	// minBaseline is the number of requests to the old version that its latency
	// quantiles require.
	minBaseline = 50
)

// effectSizes are the alternative hypotheses of an eProcess: the position of the
// new version's rate between the old rate plus the margin (0) and 1.
var effectSizes = [...]float64{0.03, 0.1, 0.3, 0.9}

// binomial holds a number of requests and how many of them were hits, such as
// errors or slow requests.
type binomial struct{ n, hits float64 }

// eProcess is an anytime-valid sequential test of two Bernoulli rates, an
// e-process: under the null hypothesis (new rate ≤ old rate + margin) its
// expected value never exceeds 1, so by Ville's inequality the probability that
// it ever reaches 1/alpha is at most alpha. Each block multiplies the value by
// the likelihood ratio of an alternative to its projection on the null
// hypothesis (Turner, Ly and Grünwald, "Generic E-variables for exact
// sequential k-sample tests", 2024). The value is a mixture over alternatives
// and over starting blocks. The k-th start has the weight 1/(k·(k+1)), so that
// good blocks before a late fault do not outweigh it.
type eProcess struct {
	margin   float64
	starts   float64
	sums     [len(effectSizes)]float64 // mixture over the starts, by alternative
	value    float64                   // after the last block
	maxValue float64
	recent   [2]binomial // decayed counts of the old and the new version
}

func newEProcess(margin float64) eProcess { return eProcess{margin: margin} }

// update adds a block. Rate is the old version's rate before the block.
func (p *eProcess) update(rate float64, from, to binomial) {
	p.starts++
	weight := 1 / (p.starts * (p.starts + 1))
	rate = min(max(rate, 1e-3), 1-p.margin-1e-3)
	value := 0.0
	for i, effect := range effectSizes {
		base := rate + p.margin
		alt := min(base+(1-base)*effect, 1-1e-4)
		p.sums[i] = (p.sums[i] + weight) * math.Exp(p.blockLogRatio(rate, alt, from, to))
		value += p.sums[i] / float64(len(effectSizes))
	}
	p.value = value + 1/(p.starts+1)
	p.maxValue = max(p.maxValue, p.value)
	for i, now := range [2]binomial{from, to} {
		p.recent[i].n = p.recent[i].n*baselineDecay + now.n
		p.recent[i].hits = p.recent[i].hits*baselineDecay + now.hits
	}
}

// exceeds reports whether the new version's recent rate exceeds that of the old
// version by more than the given difference.
func (p *eProcess) exceeds(by float64) bool {
	from, to := p.recent[0], p.recent[1]
	return to.hits*from.n > (from.hits+by*from.n)*to.n
}

// significant reports whether the test has ever rejected the null hypothesis at
// the significance level alpha.
func (p *eProcess) significant(alpha float64) bool { return p.maxValue >= 1/alpha }

// pauseLevel is the value at which a ramp pauses. Under the null hypothesis it
// is ever reached with a probability of at most 1/6.
const pauseLevel = 6

// suspicious reports whether the latest blocks indicate a fault, even if not
// yet significantly.
func (p *eProcess) suspicious() bool { return p.value >= pauseLevel }

// blockLogRatio returns the log-likelihood ratio of a block. A block without
// requests to the old version is compared with that version's earlier rate,
// which is treated as known.
func (p *eProcess) blockLogRatio(a, b float64, from, to binomial) float64 {
	if from.n == 0 {
		return logRatio(to, b, a+p.margin)
	}
	null := p.project(a, b, from.n, to.n)
	return logRatio(from, a, null) + logRatio(to, b, null+p.margin)
}

func logRatio(x binomial, alt, null float64) float64 {
	return x.hits*math.Log(alt/null) + (x.n-x.hits)*math.Log((1-alt)/(1-null))
}

// project returns the old rate at which the null hypothesis is closest to the
// alternative (a, b). The derivative of the distance increases with the rate,
// so bisection finds its zero between a and b-margin.
func (p *eProcess) project(a, b, na, nb float64) float64 {
	lo, hi := a, b-p.margin
	for range 40 {
		x := (lo + hi) / 2
		y := x + p.margin
		if na*(x-a)/(x*(1-x))+nb*(y-b)/(y*(1-y)) > 0 {
			hi = x
		} else {
			lo = x
		}
	}
	return (lo + hi) / 2
}
