package usage

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"corianderwing"
)

// site is a simulated deployment: entry instances report to control instances, which
// forward what changed to the leader.
type site struct {
	t       *rapid.T
	now     Window
	entries []*simEntry
	control []*simControl
	leader  int
	truth   counts
	lost    counts // refusals that killed entry instances may not have reported
	kills   bool   // entry instances are killed, perhaps before they reported
}

type counts map[Window]map[corianderwing.WorkspaceID]uint64

func (c counts) add(w Window, id corianderwing.WorkspaceID, n uint64) {
	if c[w] == nil {
		c[w] = map[corianderwing.WorkspaceID]uint64{}
	}
	c[w][id] += n
}

type simEntry struct {
	source  Source
	tally   *Tally
	control int
	delayed []simReport // reports that have not arrived yet, or arrive again
	open    []simRequest
}

type simReport struct {
	to     int
	report []WindowCounts
}

type simRequest struct {
	window    Window
	workspace corianderwing.WorkspaceID
}

type simControl struct {
	incarnation corianderwing.Incarnation
	ledger      *Ledger
	sender      *Sender
}

func newControl(i corianderwing.Incarnation) *simControl {
	l := NewLedger()
	return &simControl{i, l, NewSender(l)}
}

func (s *site) addr(i int) string { return fmt.Sprint("control-", i) }

// deliver merges a report at a control instance, and acknowledges it unless the
// response is lost.
func (s *site) deliver(e *simEntry, r simReport, answer bool) {
	c := s.control[r.to]
	c.ledger.Merge(Report{e.source, r.report}, s.now)
	if answer {
		e.tally.Acknowledge(Receiver{s.addr(r.to), c.incarnation}, r.report)
	}
}

// forward sends the changes of a control instance to the leader.
func (s *site) forward(i int, arrives, answer bool) {
	c, l := s.control[i], s.control[s.leader]
	if i == s.leader {
		return
	}
	to := Receiver{s.addr(s.leader), l.incarnation}
	reports := c.sender.Next(to.Addr)
	if !arrives {
		return
	}
	for _, r := range reports {
		l.ledger.Merge(r, s.now)
	}
	switch {
	case !answer:
	case len(reports) > 0:
		c.sender.Acknowledge(to)
	default:
		c.sender.Observe(to)
	}
}

func (s *site) step() {
	e := s.entries[rapid.IntRange(0, len(s.entries)-1).Draw(s.t, "entry")]
	i := rapid.IntRange(0, len(s.control)-1).Draw(s.t, "control")
	yes := rapid.Bool().Draw(s.t, "yes")
	if s.kills && rapid.IntRange(0, 20).Draw(s.t, "kill") == 10 {
		s.kill(e)
	}
	switch rapid.SampledFrom([]string{"send", "send", "refuse", "report", "report", "deliver", "forward", "forward", "switch", "restart", "elect", "next"}).Draw(s.t, "step") {
	case "send":
		id := rapid.SampledFrom([]corianderwing.WorkspaceID{"a", "b", "c"}).Draw(s.t, "workspace")
		e.tally.Sent(s.now, id)
		e.open = append(e.open, simRequest{s.now, id})
		s.truth.add(s.now, id, 1)
	case "refuse":
		if len(e.open) > 0 {
			r := e.open[0]
			e.open = e.open[1:]
			e.tally.Refused(r.window, r.workspace)
			s.truth.add(r.window, r.workspace, math.MaxUint64) // -1
		}
	case "report":
		r := simReport{e.control, e.tally.Report(s.addr(e.control))}
		if yes {
			s.deliver(e, r, rapid.Bool().Draw(s.t, "answer"))
		}
		e.delayed = append(e.delayed, r)
	case "deliver":
		if len(e.delayed) > 0 {
			s.deliver(e, rapid.SampledFrom(e.delayed).Draw(s.t, "delayed"), yes)
		}
	case "forward":
		s.forward(i, yes, rapid.Bool().Draw(s.t, "answer"))
	case "switch":
		e.control = i
	case "restart":
		s.control[i] = newControl(s.control[i].incarnation + 1)
	case "elect":
		s.leader = i
	case "next":
		s.now++
	}
}

// kill restarts an entry instance.
func (s *site) kill(e *simEntry) {
	for _, w := range e.tally.Report("") {
		for _, c := range w.Counts {
			s.lost.add(w.Window, c.Workspace, c.Refused)
		}
	}
	e.source.Incarnation++
	e.tally, e.delayed, e.open = &Tally{}, nil, nil
}

// settle lets each instance report until nothing changes.
func (s *site) settle() {
	for range 3 {
		for _, e := range s.entries {
			s.deliver(e, simReport{e.control, e.tally.Report(s.addr(e.control))}, true)
		}
		for i := range s.control {
			s.forward(i, true, true)
		}
	}
}

// Guards against counts that are lost, counted twice or taken for those of another
// incarnation when reports are lost, repeated or reordered, and instances restart.
func TestTotalsEqualTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &site{t: t, now: 100, truth: counts{}, lost: counts{}, kills: rapid.Bool().Draw(t, "kills")}
		for i := range 2 {
			s.entries = append(s.entries, &simEntry{source: Source{corianderwing.InstanceID(fmt.Sprint("entry-", i)), 1}, tally: &Tally{}})
		}
		for range 3 {
			s.control = append(s.control, newControl(1))
		}
		for range 200 {
			s.step()
		}
		s.settle()
		for w, truth := range s.truth {
			if w <= s.now-maxWindows {
				continue
			}
			totals := s.control[s.leader].ledger.Totals(w)
			for id, n := range truth {
				if totals[id] > n+s.lost[w][id] || totals[id] < n && !s.kills {
					t.Fatalf("window %d, workspace %s: %d reported, %d sent", w, id, totals[id], n)
				}
			}
		}
	})
}
