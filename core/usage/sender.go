package usage

import (
	"maps"
	"slices"
)

// maxSent is the number of counts from which on a Sender leaves further windows to
// the next reports. A count takes about 20 bytes.
const maxSent = 1 << 16

// Sender selects what a control instance sends of its ledger to the leader: what has
// changed since the leader acknowledged it, or everything to a new leader.
type Sender struct {
	ledger   *Ledger
	receiver Receiver
	acked    map[Window]uint64 // point in the changes of the ledger
	sent     map[Window]uint64 // by the last report
}

// NewSender returns a sender of a ledger.
func NewSender(l *Ledger) *Sender { return &Sender{ledger: l} }

// Next returns the next reports to a leader, oldest windows first.
func (s *Sender) Next(addr string) []Report {
	if addr != s.receiver.Addr {
		s.receiver, s.acked = Receiver{Addr: addr}, map[Window]uint64{}
	}
	l := s.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(s.acked, func(w Window, _ uint64) bool { return l.windows[w] == nil })
	s.sent = map[Window]uint64{}
	var all []Report
	total := 0
	for _, w := range slices.Sorted(maps.Keys(l.windows)) {
		reports, n := l.changesSince(s.acked[w], w)
		all = append(all, reports...)
		s.sent[w] = l.changes
		if total += n; total >= maxSent {
			break
		}
	}
	return all
}

// Observe records that a leader has responded to a message without reports. If it has
// restarted, it has lost the earlier ones.
func (s *Sender) Observe(from Receiver) {
	if from.Addr != s.receiver.Addr || from == s.receiver || from.Incarnation == 0 {
		return
	}
	if s.receiver.Incarnation != 0 {
		s.acked = map[Window]uint64{}
		s.sent = nil // may hold changes only
	}
	s.receiver = from
}

// Acknowledge records that a leader has the last reports.
func (s *Sender) Acknowledge(from Receiver) {
	s.Observe(from)
	if from == s.receiver {
		maps.Copy(s.acked, s.sent)
	}
}
