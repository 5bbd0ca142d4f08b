package member

import (
	"fmt"
	"time"

	"corianderwing"
)

// InstanceDigest names the latest record of an instance that the sender has.
type InstanceDigest struct {
	ID          corianderwing.InstanceID  `json:"id"`
	Incarnation corianderwing.Incarnation `json:"inc"`
	Seq         uint64                    `json:"seq"`
}

// UpstreamDigest names the latest announcement of an upstream that the sender has. It
// stands for the announcement itself if the receiver has an earlier one with
// the same print: most announcements change only the load.
type UpstreamDigest struct {
	ID          corianderwing.UpstreamID  `json:"id"`
	Incarnation corianderwing.Incarnation `json:"inc"`
	Seq         uint64                    `json:"seq"`
	Fingerprint uint32                    `json:"print"` // hash of all fields but Seq and Load
	Load        float64                   `json:"load,omitempty"`
	Age         corianderwing.Millis      `json:"age"`
}

// Digest lists what the sender has, so that the receiver can tell what it
// lacks.
type Digest struct {
	Instances []InstanceDigest `json:"instances,omitempty"`
	Upstreams []UpstreamDigest `json:"upstreams,omitempty"`
}

// InstanceRecord is the record of an instance.
type InstanceRecord struct {
	Instance corianderwing.Instance `json:"instance"`
	Age      corianderwing.Millis   `json:"age"`             // since the heartbeat
	Eligible bool                   `json:"able,omitempty"`  // may own pools
	Received []InstanceDigest       `json:"heard,omitempty"` // what it has of the others of its domain
}

// UpstreamRecord is the record of an upstream.
type UpstreamRecord struct {
	Upstream corianderwing.Upstream `json:"upstream"`
	Age      corianderwing.Millis   `json:"age"` // since the announcement
}

// Gossip is the message of both directions of an exchange.
type Gossip struct {
	From            corianderwing.InstanceID `json:"from"`
	Digest          Digest                   `json:"digest"`
	InstanceRecords []InstanceRecord         `json:"news,omitempty"`
	UpstreamRecords []UpstreamRecord         `json:"sightings,omitempty"`
}

// StartExchange counts a heartbeat and returns the message that begins an exchange:
// the digest, and the records that are hot.
func (s *State) StartExchange(now time.Time) Gossip {
	s.Heartbeat(now)
	m := Gossip{From: s.self.ID, Digest: s.Digest(now), InstanceRecords: []InstanceRecord{s.own(now)}}
	for _, p := range s.members {
		if now.Sub(p.news) < hot {
			m.InstanceRecords = append(m.InstanceRecords, p.record(now))
		}
	}
	for _, u := range s.upstream {
		if now.Sub(u.changed) < hot {
			m.UpstreamRecords = append(m.UpstreamRecords, u.record(now))
		}
	}
	return m
}

// HandleExchange merges the message that begins an exchange and returns the answer,
// which has what the sender lacks.
func (s *State) HandleExchange(now time.Time, m Gossip) Gossip {
	s.Merge(now, m)
	return s.Delta(now, m.Digest)
}

// Digest lists what this instance has.
func (s *State) Digest(now time.Time) Digest {
	d := Digest{Instances: make([]InstanceDigest, 0, len(s.members)+1)}
	d.Instances = append(d.Instances, mark(s.self))
	for _, p := range s.members {
		d.Instances = append(d.Instances, mark(p.Instance))
	}
	for _, u := range s.upstream {
		d.Upstreams = append(d.Upstreams, u.seen(now))
	}
	return d
}

// Delta returns the records that the sender of d lacks.
func (s *State) Delta(now time.Time, d Digest) Gossip {
	has := make(map[corianderwing.InstanceID]InstanceDigest, len(d.Instances))
	for _, k := range d.Instances {
		has[k.ID] = k
	}
	seen := make(map[corianderwing.UpstreamID]UpstreamDigest, len(d.Upstreams))
	for _, k := range d.Upstreams {
		seen[k.ID] = k
	}
	m := Gossip{From: s.self.ID, Digest: s.Digest(now), InstanceRecords: []InstanceRecord{s.own(now)}}
	for id, p := range s.members {
		k, ok := has[id]
		if (!ok || newer(p.Incarnation, p.Seq, k.Incarnation, k.Seq)) && (p.Phase == corianderwing.Left || !p.expired(now)) {
			m.InstanceRecords = append(m.InstanceRecords, p.record(now))
		}
	}
	for id, u := range s.upstream {
		k, ok := seen[id]
		ok = ok && (u.print == k.Fingerprint || !newer(u.Incarnation, u.Seq, k.Incarnation, k.Seq))
		if !ok && (u.Phase == corianderwing.Left || !u.expired(now)) {
			m.UpstreamRecords = append(m.UpstreamRecords, u.record(now))
		}
	}
	return m
}

// Merge takes the records and echoes of a message.
func (s *State) Merge(now time.Time, m Gossip) {
	for _, n := range m.InstanceRecords {
		s.mergeNews(now, n)
	}
	for _, u := range m.UpstreamRecords {
		s.mergeUpstream(now, u)
	}
	for _, k := range m.Digest.Upstreams {
		s.refresh(now, k)
	}
	for _, k := range m.Digest.Instances {
		if k.ID == s.self.ID {
			s.echoed(now, m.From, k)
		}
	}
	s.updateAble(now)
}

func (s *State) mergeNews(now time.Time, n InstanceRecord) {
	id, age := n.Instance.ID, max(0, time.Duration(n.Age)*time.Millisecond)
	if id == s.self.ID {
		s.replaced = s.replaced || n.Instance.Incarnation > s.self.Incarnation
		return
	}
	if age >= ExpireAfter && (n.Instance.Phase != corianderwing.Left || age >= TombstoneTTL) {
		return
	}
	p, ok := s.members[id]
	if !ok {
		p = &peer{}
		s.members[id] = p
	} else if !newer(n.Instance.Incarnation, n.Instance.Seq, p.Incarnation, p.Seq) {
		return
	}
	p.Instance, p.able, p.heard, p.news = n.Instance, n.Eligible, n.Received, now.Add(-age)
	for _, k := range n.Received {
		if k.ID == s.self.ID {
			s.echoed(now, id, k)
		}
	}
}

func (s *State) mergeUpstream(now time.Time, n UpstreamRecord) {
	age := max(0, time.Duration(n.Age)*time.Millisecond)
	if age >= ExpireAfter && (n.Upstream.Phase != corianderwing.Left || age >= TombstoneTTL) {
		return
	}
	u, ok := s.upstream[n.Upstream.ID]
	if !ok {
		u = &sighting{}
		s.upstream[n.Upstream.ID] = u
	} else if !newer(n.Upstream.Incarnation, n.Upstream.Seq, u.Incarnation, u.Seq) {
		return
	}
	phase := n.Upstream.Phase
	if ok && u.Incarnation == n.Upstream.Incarnation && rank(u.Phase) > rank(phase) {
		phase = u.Phase // a drain does not end within one life
	}
	u.Upstream, u.news = n.Upstream, now.Add(-age)
	u.Phase = phase
	if p := printOf(u.Upstream); p != u.print {
		u.print, u.changed = p, now
	}
}

// refresh takes an announcement that changes only Seq and Load.
func (s *State) refresh(now time.Time, k UpstreamDigest) {
	age := max(0, time.Duration(k.Age)*time.Millisecond)
	u, ok := s.upstream[k.ID]
	if !ok || u.print != k.Fingerprint || age >= ExpireAfter || !newer(k.Incarnation, k.Seq, u.Incarnation, u.Seq) {
		return
	}
	u.Seq, u.Load, u.news = k.Seq, k.Load, now.Add(-age)
}

// echoed notes that another instance has the heartbeat that k names.
func (s *State) echoed(now time.Time, from corianderwing.InstanceID, k InstanceDigest) {
	if k.Incarnation != s.self.Incarnation || from == s.self.ID {
		return
	}
	at, ok := s.beatTime(k.Seq)
	if !ok {
		return
	}
	if p, ok := s.members[from]; ok && at.After(p.echo) {
		p.echo = at
	}
	if s.inContact(now) || !now.Before(corianderwing.HolderDeadline(at, OwnershipLease)) {
		s.contact = later(s.contact, at)
		return
	}
	s.contact, s.since = at, now
	s.able, s.known = time.Time{}, false
}

func (s *State) beatTime(seq uint64) (time.Time, bool) {
	for i := len(s.beats) - 1; i >= 0; i-- {
		if s.beats[i].seq == seq {
			return s.beats[i].at, true
		}
	}
	return time.Time{}, false
}

// own returns the record of this instance, of its latest heartbeat.
func (s *State) own(now time.Time) InstanceRecord {
	n := InstanceRecord{Instance: s.self, Eligible: !s.able.IsZero(), Age: millis(now.Sub(s.beats[len(s.beats)-1].at))}
	for _, p := range s.members {
		if p.Domain == s.self.Domain && !p.expired(now) {
			n.Received = append(n.Received, mark(p.Instance))
		}
	}
	return n
}

func (p *peer) record(now time.Time) InstanceRecord {
	return InstanceRecord{Instance: p.Instance, Eligible: p.able, Received: p.heard, Age: millis(now.Sub(p.news))}
}

func (u *sighting) seen(now time.Time) UpstreamDigest {
	return UpstreamDigest{ID: u.ID, Incarnation: u.Incarnation, Seq: u.Seq, Fingerprint: u.print, Load: u.Load, Age: millis(now.Sub(u.news))}
}

// printOf returns a hash of all fields but Seq and Load.
func printOf(u corianderwing.Upstream) uint32 {
	u.Seq, u.Load = 0, 0
	return uint32(hash(fmt.Sprintf("%+v", u)))
}

func (u *sighting) record(now time.Time) UpstreamRecord {
	return UpstreamRecord{Upstream: u.Upstream, Age: millis(now.Sub(u.news))}
}

func mark(i corianderwing.Instance) InstanceDigest { return InstanceDigest{i.ID, i.Incarnation, i.Seq} }

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
