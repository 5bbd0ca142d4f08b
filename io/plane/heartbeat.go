package plane

import (
	"slices"
	"sync"
	"time"

	"corianderwing"
)

// heartbeatTracker collects the upstreams that sent heartbeats since the last
// report.
type heartbeatTracker struct {
	mu        sync.Mutex
	upstreams map[uint32]time.Time // by number: time of the last heartbeat
	lastSeqs  map[corianderwing.UpstreamID]lastSeq
}

// lastSeq is the sequence number of the latest heartbeat from one incarnation
// of an upstream.
type lastSeq struct {
	incarnation corianderwing.Incarnation
	seq         uint64
	at          time.Time
	warmupUntil time.Time // end of the warm-up that this instance has announced
}

func newHeartbeatTracker() *heartbeatTracker {
	return &heartbeatTracker{upstreams: map[uint32]time.Time{}, lastSeqs: map[corianderwing.UpstreamID]lastSeq{}}
}

// outdated reports whether a later heartbeat from the same incarnation has
// already arrived. Otherwise it records the sequence number.
func (s *heartbeatTracker) outdated(h *corianderwing.Heartbeat, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, ok := s.lastSeqs[h.ID]
	if !ok || last.incarnation != h.Incarnation {
		last = lastSeq{incarnation: h.Incarnation}
	}
	if h.Seq < last.seq {
		return true
	}
	last.seq, last.at = h.Seq, now
	s.lastSeqs[h.ID] = last
	return false
}

// extendsWarmup reports whether a heartbeat, which was not outdated, says that the
// warm-up of its upstream ends later than this instance has announced. What this
// instance knows from the replicated state does not count: each replica counts a
// warm-up from when it applied the announcement, which after a restart is late.
func (s *heartbeatTracker) extendsWarmup(h *corianderwing.Heartbeat, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return h.Cold > 0 && h.Cold.After(now).Sub(s.lastSeqs[h.ID].warmupUntil) > warmupEndTolerance
}

// recordWarmup records that a heartbeat that was received at now has been announced.
func (s *heartbeatTracker) recordWarmup(h *corianderwing.Heartbeat, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if last, ok := s.lastSeqs[h.ID]; ok && last.incarnation == h.Incarnation {
		last.warmupUntil = h.Cold.After(now)
		s.lastSeqs[h.ID] = last
	}
}

// lastIncarnation returns the incarnation of the last heartbeat from an upstream, or 0.
func (s *heartbeatTracker) lastIncarnation(id corianderwing.UpstreamID) corianderwing.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastSeqs[id].incarnation
}

// record records a heartbeat from an upstream.
func (s *heartbeatTracker) record(no uint32, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.upstreams[no]) {
		s.upstreams[no] = at
	}
}

// maxReportedAge is the age at which a heartbeat is no longer reported: after a
// loss of contact with the leader, old heartbeats prove nothing.
const maxReportedAge = 3 * time.Second

// lastSeqTTL is how long the sequence number of a silent upstream is kept: longer
// than any heartbeat is on its way. Most upstreams return under a new id.
const lastSeqTTL = 5 * time.Minute

// forgetSilent drops the sequence numbers of upstreams that have been silent for
// lastSeqTTL.
func (s *heartbeatTracker) forgetSilent(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, last := range s.lastSeqs {
		if now.Sub(last.at) >= lastSeqTTL {
			delete(s.lastSeqs, id)
		}
	}
}

// take returns the upstreams recorded since the last call.
func (s *heartbeatTracker) take(now time.Time) []uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]uint32, 0, len(s.upstreams))
	for no, at := range s.upstreams {
		if now.Sub(at) < maxReportedAge {
			list = append(list, no)
		}
	}
	clear(s.upstreams)
	slices.Sort(list)
	return list
}
