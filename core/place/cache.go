package place

// cacheDepths counts hits and misses by the position of the object in the upstream's
// cache, most recent first. It estimates the cache size of upstreams whose work takes
// longer at some moments: a hit in such a moment may pass for a miss, at any position.
// The size is therefore the position at which hits turn into misses, not the position
// of a single miss.
type cacheDepths struct {
	hits, misses [maxCacheSize]float64
	weight       float64 // of the next sample; grows, so that older samples count less
}

const (
	// depthForgetting is the growth of the weight with each sample.
	depthForgetting = 1.005
	// maxDepthWeight is the weight at which all counts are scaled down.
	maxDepthWeight = 1e6
	// priorDepthWeight is the weight of the assumption of initialCacheSize at each
	// position.
	priorDepthWeight = 0.05
)

func newCacheDepths() *cacheDepths {
	c := &cacheDepths{weight: 1}
	for i := range c.hits {
		if i < initialCacheSize {
			c.hits[i] = priorDepthWeight
		} else {
			c.misses[i] = priorDepthWeight
		}
	}
	return c
}

// add counts a hit or miss at a position.
func (c *cacheDepths) add(depth int, hit bool) {
	if depth < 0 || depth >= maxCacheSize {
		return
	}
	if hit {
		c.hits[depth] += c.weight
	} else {
		c.misses[depth] += c.weight
	}
	c.weight *= depthForgetting
	if c.weight < maxDepthWeight {
		return
	}
	for i := range c.hits {
		c.hits[i] /= c.weight
		c.misses[i] /= c.weight
	}
	c.weight = 1
}

// size returns the cache size that contradicts the fewest samples: misses at smaller
// positions, and hits at others.
func (c *cacheDepths) size() float64 {
	wrong, fewest, size := 0.0, 0.0, 0
	for i := range c.hits {
		wrong += c.misses[i] - c.hits[i]
		if wrong <= fewest {
			fewest, size = wrong, i+1
		}
	}
	return min(max(float64(size), minCacheSize), maxCacheSize)
}
