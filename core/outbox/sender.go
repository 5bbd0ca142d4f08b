package outbox

import (
	"time"

	"corianderwing"
	"corianderwing/core/duty"
	"corianderwing/core/usage"
)

const (
	// minCallTime is how much of its lease a holder needs to begin a call.
	minCallTime = 500 * time.Millisecond
	// arrivalMargin is how long before the end of its lease a holder stops sending, so
	// that what it sent arrives before the first call of another holder.
	arrivalMargin = 200 * time.Millisecond
	// collectTime is how long a new leader waits before it records counts: the other
	// control instances have to report all counts to it first.
	collectTime = 2 * time.Second
)

// Input is what a process knows at one moment.
type Input struct {
	State  duty.State         // as applied by this process
	Term   corianderwing.Term // in which the process leads the control group; 0 if it does not
	Boot   time.Time          // by a clock that advances while the machine is suspended
	Now    time.Time          // true time
	Totals func(usage.Window) map[corianderwing.WorkspaceID]uint64
	// Windows returns the windows with counts.
	Windows func() []usage.Window
}

// Action is what a process should do: propose a change, send a call, or neither.
type Action struct {
	Propose *duty.Change
	Send    *Call
	Outcome Outcome // of what is recorded by Propose
}

// Call is one call to the receiver.
type Call struct {
	Report Report
	Token  duty.Token
	Until  time.Time // boot time at which the call ends; no byte may be sent afterwards
}

// Sender decides for one process when it records reports and when it sends them. It is
// immutable.
type Sender struct {
	name     duty.Name
	schedule Schedule
	member   duty.Member
	pacer    Pacer
	term     corianderwing.Term
	ledSince time.Time
	accepted usage.Window // the newest window that the receiver accepted from this process
}

// NewSender returns the sender of a process that has seen no state yet.
func NewSender(name duty.Name, m duty.Member, s Schedule, p Pacer) Sender {
	return Sender{name: name, schedule: s, member: m, pacer: p}
}

// Member returns what the process knows of the duty.
func (s Sender) Member() duty.Member { return s.member }

// Step returns the sender after it has seen the input, and what to do. It returns an
// error if the recorded reports cannot be read; nothing is sent then.
func (s Sender) Step(in Input) (Sender, Action, error) {
	s.member = s.member.Observe(in.State, in.Boot)
	if in.Term != s.term {
		s.term, s.ledSince = in.Term, in.Boot
	}
	if in.Term == 0 || in.Boot.Before(s.member.FreeAt()) {
		return s, Action{}, nil
	}
	recorded, err := Decode(s.member.State().Data)
	if err != nil {
		return s, Action{}, err
	}
	box := recorded.Acknowledge(s.accepted)
	next, out := s.record(box, in)
	due := len(box.Pending) > 0 && !in.Boot.Before(s.pacer.Next())
	switch {
	case next.Next != box.Next || due && s.member.Until().Sub(in.Boot) < minCallTime:
		return s.propose(recorded, next, out, in.Boot)
	case due:
		call := &Call{box.Pending[0], s.member.State().Token, s.member.Until().Add(-arrivalMargin)}
		s.pacer = s.pacer.Begin(in.Boot)
		return s, Action{Send: call}, nil
	}
	return s, Action{}, nil
}

// record returns the box after all ripe windows were recorded.
func (s Sender) record(box Box, in Input) (Box, Outcome) {
	current := usage.At(in.Now, s.schedule.Length)
	if box.Next == 0 {
		return box.Start(current, in.Windows()), Outcome{}
	}
	if in.Boot.Before(s.ledSince.Add(collectTime)) {
		return box, Outcome{}
	}
	return box.Record(s.schedule, in.Now, in.Totals)
}

// propose proposes to renew the lease and to record a box in place of another one. The
// log gets the box only if it differs.
func (s Sender) propose(recorded, box Box, out Outcome, boot time.Time) (Sender, Action, error) {
	var data []byte
	if box.Next != recorded.Next || len(box.Pending) != len(recorded.Pending) {
		var err error
		if data, err = box.Encode(); err != nil {
			return s, Action{}, err
		}
	}
	next, c, ok := s.member.Propose(s.name, data, boot)
	if !ok {
		return s, Action{}, nil
	}
	s.member = next
	return s, Action{Propose: &c, Outcome: out}, nil
}

// Answered returns the sender after a call has ended.
func (s Sender) Answered(w usage.Window, r corianderwing.UsageResult, boot time.Time) Sender {
	if !r.Accepted {
		s.pacer = s.pacer.Fail(boot, time.Duration(r.RetryAfter)*time.Millisecond)
		return s
	}
	s.accepted = max(s.accepted, w)
	s.pacer = s.pacer.Succeed()
	return s
}
