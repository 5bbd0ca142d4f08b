package duty

import (
	"time"

	"corianderwing"
)

// Member is the view that one process has of a duty. It is immutable. Times are those
// of a clock that advances while the machine is suspended.
type Member struct {
	self  Holder
	lease corianderwing.Millis

	state     State
	seenAt    time.Time // when the process first saw state.Seq
	until     time.Time // end of the lease of this process; zero if it holds none
	asked     Seq       // the state for which this process proposed a change
	askedAt   time.Time // when it first did
	everAsked bool
}

// NewMember returns the view of a process that has seen no state yet.
func NewMember(self Holder, lease corianderwing.Millis) Member {
	return Member{self: self, lease: lease}
}

// Observe returns the view after the process has seen a state. The state may not be
// the newest.
func (m Member) Observe(s State, now time.Time) Member {
	if s.Seq < m.state.Seq || s.Seq == m.state.Seq && !m.seenAt.IsZero() {
		return m
	}
	m.state, m.seenAt, m.until = s, now, time.Time{}
	if s.Holder == m.self && m.everAsked && s.Seq == m.asked+1 {
		m.until = corianderwing.HolderDeadline(m.askedAt, time.Duration(s.Lease)*time.Millisecond)
	}
	return m
}

// State returns the last state that the process has seen.
func (m Member) State() State { return m.state }

// Self returns the process itself.
func (m Member) Self() Holder { return m.self }

// Holds reports whether the last state that the process has seen names it as the
// holder. Its lease may have ended.
func (m Member) Holds() bool { return m.state.Holder == m.self && m.state.Seq > 0 }

// Until returns when the process must stop acting. It is zero if it holds no lease.
func (m Member) Until() time.Time { return m.until }

// FreeAt returns the earliest time at which the process may propose to take or renew
// the lease.
func (m Member) FreeAt() time.Time {
	if m.state.Seq == 0 || m.Holds() {
		return m.seenAt
	}
	return corianderwing.GrantorDeadline(m.seenAt, time.Duration(m.state.Lease)*time.Millisecond)
}

// Propose returns a change that takes or renews the lease, and the view after it. The
// change may be committed at any later time or never. ok is false while another
// process may hold the lease.
func (m Member) Propose(name Name, data []byte, now time.Time) (next Member, c Change, ok bool) {
	if m.seenAt.IsZero() || now.Before(m.FreeAt()) {
		return m, Change{}, false
	}
	// Of several changes for the same state any one may be committed, so the lease
	// counts from the first.
	if !m.everAsked || m.asked != m.state.Seq {
		m.everAsked, m.asked, m.askedAt = true, m.state.Seq, now
	}
	return m, Change{Name: name, Expect: m.state.Seq, Holder: m.self, Lease: m.lease, Data: data}, true
}
