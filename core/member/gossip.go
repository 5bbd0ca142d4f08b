package member

import (
	"fmt"
	"time"

	"corianderwing"
)

// InstanceDigest identifies the latest record of an instance that the sender
// has.
type InstanceDigest struct {
	ID          corianderwing.InstanceID  `json:"id"`
	Incarnation corianderwing.Incarnation `json:"inc"`
	Seq         uint64                    `json:"seq"`
}

// UpstreamDigest identifies the latest announcement of an upstream that the
// sender has. It replaces the full announcement if the receiver has an earlier
// one with the same fingerprint, because most announcements change only the
// load.
type UpstreamDigest struct {
	ID          corianderwing.UpstreamID  `json:"id"`
	Incarnation corianderwing.Incarnation `json:"inc"`
	Seq         uint64                    `json:"seq"`
	Fingerprint uint32                    `json:"print"` // hash of all fields but Seq and Load
	Load        float64                   `json:"load,omitempty"`
	Age         corianderwing.Millis      `json:"age"`
}

// Digest summarizes the records of the sender, so that the receiver can
// determine which ones it lacks.
type Digest struct {
	Instances []InstanceDigest `json:"instances,omitempty"`
	Upstreams []UpstreamDigest `json:"upstreams,omitempty"`
}

// InstanceRecord is the record of an instance.
type InstanceRecord struct {
	Instance corianderwing.Instance `json:"instance"`
	Age      corianderwing.Millis   `json:"age"`             // time since the heartbeat
	Eligible bool                   `json:"able,omitempty"`  // whether it may own pools
	Received []InstanceDigest       `json:"heard,omitempty"` // records it has of the other instances of its domain
}

// UpstreamRecord is the record of an upstream.
type UpstreamRecord struct {
	Upstream corianderwing.Upstream `json:"upstream"`
	Age      corianderwing.Millis   `json:"age"` // time since the announcement
}

// Gossip is the message sent in both directions of an exchange.
type Gossip struct {
	From            corianderwing.InstanceID `json:"from"`
	Digest          Digest                   `json:"digest"`
	InstanceRecords []InstanceRecord         `json:"news,omitempty"`
	UpstreamRecords []UpstreamRecord         `json:"sightings,omitempty"`
}

// StartExchange increments the heartbeat counter and returns the first message
// of an exchange: the digest, and the records within pushWindow.
func (s *State) StartExchange(now time.Time) Gossip {
	s.Heartbeat(now)
	m := Gossip{From: s.self.ID, Digest: s.Digest(now), InstanceRecords: []InstanceRecord{s.selfRecord(now)}}
	for _, p := range s.peers {
		if now.Sub(p.heartbeatAt) < pushWindow {
			m.InstanceRecords = append(m.InstanceRecords, p.record(now))
		}
	}
	for _, u := range s.upstreams {
		if now.Sub(u.changedAt) < pushWindow {
			m.UpstreamRecords = append(m.UpstreamRecords, u.record(now))
		}
	}
	return m
}

// HandleExchange merges the first message of an exchange and returns the reply
// with the records that the sender lacks.
func (s *State) HandleExchange(now time.Time, m Gossip) Gossip {
	s.Merge(now, m)
	return s.Delta(now, m.Digest)
}

// Digest returns the digest of all records of this instance.
func (s *State) Digest(now time.Time) Digest {
	d := Digest{Instances: make([]InstanceDigest, 0, len(s.peers)+1)}
	d.Instances = append(d.Instances, digestOf(s.self))
	for _, p := range s.peers {
		d.Instances = append(d.Instances, digestOf(p.Instance))
	}
	for _, u := range s.upstreams {
		d.Upstreams = append(d.Upstreams, u.digest(now))
	}
	return d
}

// Delta returns the records that the sender of d lacks.
func (s *State) Delta(now time.Time, d Digest) Gossip {
	has := make(map[corianderwing.InstanceID]InstanceDigest, len(d.Instances))
	for _, digest := range d.Instances {
		has[digest.ID] = digest
	}
	seen := make(map[corianderwing.UpstreamID]UpstreamDigest, len(d.Upstreams))
	for _, digest := range d.Upstreams {
		seen[digest.ID] = digest
	}
	m := Gossip{From: s.self.ID, Digest: s.Digest(now), InstanceRecords: []InstanceRecord{s.selfRecord(now)}}
	for id, p := range s.peers {
		k, ok := has[id]
		if (!ok || newer(p.Incarnation, p.Seq, k.Incarnation, k.Seq)) && (p.Phase == corianderwing.Left || !p.expired(now)) {
			m.InstanceRecords = append(m.InstanceRecords, p.record(now))
		}
	}
	for id, u := range s.upstreams {
		k, ok := seen[id]
		ok = ok && (u.fingerprint == k.Fingerprint || !newer(u.Incarnation, u.Seq, k.Incarnation, k.Seq))
		if !ok && (u.Phase == corianderwing.Left || !u.expired(now)) {
			m.UpstreamRecords = append(m.UpstreamRecords, u.record(now))
		}
	}
	return m
}

// Merge merges the records and echoes of a message.
func (s *State) Merge(now time.Time, m Gossip) {
	for _, n := range m.InstanceRecords {
		s.mergeInstance(now, n)
	}
	for _, u := range m.UpstreamRecords {
		s.mergeUpstream(now, u)
	}
	for _, k := range m.Digest.Upstreams {
		s.refreshUpstream(now, k)
	}
	for _, k := range m.Digest.Instances {
		if k.ID == s.self.ID {
			s.recordEcho(now, m.From, k)
		}
	}
	s.updateEligibility(now)
}

func (s *State) mergeInstance(now time.Time, n InstanceRecord) {
	id, age := n.Instance.ID, max(0, time.Duration(n.Age)*time.Millisecond)
	if id == s.self.ID {
		s.superseded = s.superseded || n.Instance.Incarnation > s.self.Incarnation
		return
	}
	if age >= ExpireAfter && (n.Instance.Phase != corianderwing.Left || age >= TombstoneTTL) {
		return
	}
	p, ok := s.peers[id]
	if !ok {
		p = &peer{}
		s.peers[id] = p
	} else if !newer(n.Instance.Incarnation, n.Instance.Seq, p.Incarnation, p.Seq) {
		return
	}
	p.Instance, p.eligible, p.received, p.heartbeatAt = n.Instance, n.Eligible, n.Received, now.Add(-age)
	for _, k := range n.Received {
		if k.ID == s.self.ID {
			s.recordEcho(now, id, k)
		}
	}
}

func (s *State) mergeUpstream(now time.Time, n UpstreamRecord) {
	age := max(0, time.Duration(n.Age)*time.Millisecond)
	if age >= ExpireAfter && (n.Upstream.Phase != corianderwing.Left || age >= TombstoneTTL) {
		return
	}
	u, ok := s.upstreams[n.Upstream.ID]
	if !ok {
		u = &upstreamState{}
		s.upstreams[n.Upstream.ID] = u
	} else if !newer(n.Upstream.Incarnation, n.Upstream.Seq, u.Incarnation, u.Seq) {
		return
	}
	phase := n.Upstream.Phase
	if ok && u.Incarnation == n.Upstream.Incarnation && phaseOrder(u.Phase) > phaseOrder(phase) {
		phase = u.Phase // draining is final within one incarnation
	}
	u.Upstream, u.announcedAt = n.Upstream, now.Add(-age)
	u.Phase = phase
	if p := fingerprintOf(u.Upstream); p != u.fingerprint {
		u.fingerprint, u.changedAt = p, now
	}
}

// refreshUpstream merges an announcement that changes only Seq and Load.
func (s *State) refreshUpstream(now time.Time, d UpstreamDigest) {
	age := max(0, time.Duration(d.Age)*time.Millisecond)
	u, ok := s.upstreams[d.ID]
	if !ok || u.fingerprint != d.Fingerprint || age >= ExpireAfter || !newer(d.Incarnation, d.Seq, u.Incarnation, u.Seq) {
		return
	}
	u.Seq, u.Load, u.announcedAt = d.Seq, d.Load, now.Add(-age)
}

// recordEcho records that another instance has received the heartbeat that d
// identifies. After a loss of contact it restarts the wait for eligibility.
func (s *State) recordEcho(now time.Time, from corianderwing.InstanceID, d InstanceDigest) {
	if d.Incarnation != s.self.Incarnation || from == s.self.ID {
		return
	}
	at, ok := s.heartbeatTime(d.Seq)
	if !ok {
		return
	}
	if p, ok := s.peers[from]; ok && at.After(p.lastEchoed) {
		p.lastEchoed = at
	}
	if s.inContact(now) || !now.Before(corianderwing.HolderDeadline(at, OwnershipLease)) {
		s.lastEchoed = later(s.lastEchoed, at)
		return
	}
	s.lastEchoed, s.contactSince = at, now
	s.eligibleSince, s.eligibilityKnown = time.Time{}, false
}

func (s *State) heartbeatTime(seq uint64) (time.Time, bool) {
	for i := len(s.heartbeats) - 1; i >= 0; i-- {
		if s.heartbeats[i].seq == seq {
			return s.heartbeats[i].at, true
		}
	}
	return time.Time{}, false
}

// selfRecord returns the record of this instance as of its latest heartbeat.
func (s *State) selfRecord(now time.Time) InstanceRecord {
	n := InstanceRecord{Instance: s.self, Eligible: !s.eligibleSince.IsZero(), Age: millis(now.Sub(s.heartbeats[len(s.heartbeats)-1].at))}
	for _, p := range s.peers {
		if p.Domain == s.self.Domain && !p.expired(now) {
			n.Received = append(n.Received, digestOf(p.Instance))
		}
	}
	return n
}

func (p *peer) record(now time.Time) InstanceRecord {
	return InstanceRecord{Instance: p.Instance, Eligible: p.eligible, Received: p.received, Age: millis(now.Sub(p.heartbeatAt))}
}

func (u *upstreamState) digest(now time.Time) UpstreamDigest {
	return UpstreamDigest{ID: u.ID, Incarnation: u.Incarnation, Seq: u.Seq, Fingerprint: u.fingerprint, Load: u.Load, Age: millis(now.Sub(u.announcedAt))}
}

// fingerprintOf returns a hash of all fields but Seq and Load.
func fingerprintOf(u corianderwing.Upstream) uint32 {
	u.Seq, u.Load = 0, 0
	return uint32(hash(fmt.Sprintf("%+v", u)))
}

func (u *upstreamState) record(now time.Time) UpstreamRecord {
	return UpstreamRecord{Upstream: u.Upstream, Age: millis(now.Sub(u.announcedAt))}
}

func digestOf(i corianderwing.Instance) InstanceDigest {
	return InstanceDigest{i.ID, i.Incarnation, i.Seq}
}

func newer(inc corianderwing.Incarnation, seq uint64, thanInc corianderwing.Incarnation, thanSeq uint64) bool {
	return inc > thanInc || inc == thanInc && seq > thanSeq
}

func millis(d time.Duration) corianderwing.Millis {
	return corianderwing.Millis(max(0, d) / time.Millisecond)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
