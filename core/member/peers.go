package member

import (
	"cmp"
	"slices"
	"time"

	"corianderwing"
)

const (
	// localFanout is the number of instances of the local domain contacted in
	// each round. Ownership depends on their echoes.
	localFanout = 2
	// remoteFanout is the number of instances of other domains contacted in each
	// round.
	remoteFanout = 2
	// seedInterval is the mean number of rounds between two that contact a seed.
	// Seeds reconnect partitions whose records of each other have expired.
	seedInterval = 10
)

// GossipPeers returns the addresses to contact in the next gossip round: some
// instances of this domain, some of other domains, and occasionally a seed.
func (s *State) GossipPeers(now time.Time) []string {
	var local, remote []*peer
	for _, p := range s.peers {
		switch {
		case p.Phase == corianderwing.Left:
		case p.Domain == s.self.Domain:
			local = append(local, p)
		default:
			remote = append(remote, p)
		}
	}
	var to []string
	to = s.appendRandom(to, local, localFanout, now)
	to = s.appendRandom(to, remote, remoteFanout, now)
	if len(s.cfg.Seeds) > 0 && (len(to) == 0 || s.rng.IntN(seedInterval) == 0) {
		to = append(to, s.cfg.Seeds[s.rng.IntN(len(s.cfg.Seeds))])
	}
	slices.Sort(to)
	to = slices.Compact(to)
	return slices.DeleteFunc(to, func(a string) bool { return a == s.self.PeerAddr })
}

// appendRandom appends the addresses of up to n randomly chosen instances. It
// adds expired instances only if there are too few live ones, since they may be
// on the other side of a partition that has healed.
func (s *State) appendRandom(to []string, from []*peer, n int, now time.Time) []string {
	slices.SortFunc(from, func(a, b *peer) int { return cmp.Compare(a.ID, b.ID) })
	s.rng.Shuffle(len(from), func(i, j int) { from[i], from[j] = from[j], from[i] })
	slices.SortStableFunc(from, func(a, b *peer) int {
		return cmp.Compare(b2i(a.expired(now)), b2i(b.expired(now)))
	})
	for _, p := range from[:min(n, len(from))] {
		to = append(to, p.PeerAddr)
	}
	return to
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}
