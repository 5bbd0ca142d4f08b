package outbox

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"corianderwing"
	"corianderwing/core/duty"
	"corianderwing/core/usage"
	"corianderwing/internal/runs"
)

var testSchedule = Schedule{Length: 5 * time.Second, Settle: 3 * time.Second}

const testLease corianderwing.Millis = 3000

type counts = map[corianderwing.WorkspaceID]uint64

// site is three processes, one of which leads, a group and a receiver.
type site struct {
	draw    func(n int) int
	better  bool // a fault: the holder sends the counts it knows now, not those recorded
	now     time.Time
	state   duty.State
	senders [3]Sender
	seen    [3]duty.State
	frozen  [3]time.Time
	cut     [3]time.Time // off from the group, not from the receiver
	leader  int
	term    corianderwing.Term
	got     map[usage.Window]counts
	token   duty.Token
	sends   map[int]time.Time // last call of each process
	last    int               // process of the last call
}

func newSite(draw func(n int) int) *site {
	s := &site{draw: draw, now: time.Unix(1000, 0), term: 1, got: map[usage.Window]counts{}, sends: map[int]time.Time{}}
	for i := range s.senders {
		s.start(i)
	}
	return s
}

func (s *site) start(i int) {
	holder := duty.Holder{Instance: corianderwing.InstanceID(fmt.Sprint("c", i)), Incarnation: corianderwing.Incarnation(s.now.UnixNano())}
	s.senders[i] = NewSender("usage", duty.NewMember(holder, testLease), testSchedule, Pacer{Interval: 20 * time.Millisecond})
}

// totals returns counts that differ with each call: reports may still come in.
func (s *site) totals(usage.Window) counts { return counts{"w": uint64(s.draw(1000))} }

// tick lets time pass, does one fault sometimes, and lets each process act. A process
// that was deposed does not know it for some ticks.
func (s *site) tick(faults bool) error {
	s.now = s.now.Add(time.Duration(50+s.draw(100)) * time.Millisecond)
	if faults {
		i := s.draw(3)
		switch s.draw(60) {
		case 0:
			s.start(i)
		case 1:
			s.frozen[i] = s.now.Add(time.Duration(s.draw(8000)) * time.Millisecond)
		case 2:
			s.cut[i] = s.now.Add(time.Duration(s.draw(8000)) * time.Millisecond)
		case 3, 4:
			s.leader, s.term = i, s.term+1
		}
	}
	for i := range s.senders {
		if s.frozen[i].After(s.now) {
			continue
		}
		if err := s.step(i, faults); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) step(i int, faults bool) error {
	cut := s.cut[i].After(s.now)
	if !cut {
		s.seen[i] = s.state
	}
	in := Input{State: s.seen[i], Boot: s.now, Now: s.now.Add(time.Duration(i) * 40 * time.Millisecond), Totals: s.totals, Windows: func() []usage.Window { return nil }}
	if i == s.leader || cut || faults && s.draw(5) == 0 {
		in.Term = s.term
	}
	next, action, err := s.senders[i].Step(in)
	if err != nil {
		return err
	}
	s.senders[i] = next
	if c := action.Propose; c != nil && !cut && (!faults || s.draw(4) > 0) {
		if state, err := s.state.Apply(c); err == nil {
			s.state = state
		}
	}
	if action.Send != nil {
		return s.receive(i, action.Send, faults)
	}
	return nil
}

// receive lets the receiver get a call, lose it, or lose its answer.
func (s *site) receive(i int, c *Call, faults bool) error {
	fate := 3
	if faults {
		fate = s.draw(4)
	}
	if fate == 0 {
		s.senders[i] = s.senders[i].Answered(c.Report.Window, corianderwing.UsageResult{}, s.now)
		return nil
	}
	if err := s.judge(i, c); err != nil {
		return err
	}
	s.senders[i] = s.senders[i].Answered(c.Report.Window, corianderwing.UsageResult{Accepted: fate > 1}, s.now)
	return nil
}

func (s *site) judge(i int, c *Call) error {
	sent := c.Report.Counts
	if s.better {
		sent = s.totals(c.Report.Window)
	}
	if known, ok := s.got[c.Report.Window]; ok && !maps.Equal(known, sent) {
		return fmt.Errorf("window %d has counts %v and %v", c.Report.Window, known, sent)
	}
	s.got[c.Report.Window] = sent
	if c.Token < s.token {
		return fmt.Errorf("token %d after %d", c.Token, s.token)
	}
	if at, ok := s.sends[i]; s.last != i && ok {
		if s.now.Sub(at) < time.Duration(testLease)*time.Millisecond {
			return fmt.Errorf("process %d sends again after %v, and another between", i, s.now.Sub(at))
		}
	}
	if c.Token == s.token && s.last != i {
		return fmt.Errorf("processes %d and %d send token %d", s.last, i, c.Token)
	}
	s.token, s.last, s.sends[i] = c.Token, i, s.now
	return nil
}

// play runs a site with faults for a minute, then without. All of the windows after
// the first must be reported in the end, unless they were given up.
func play(better bool, draw func(n int) int) error {
	s := newSite(draw)
	s.better = better
	for range 600 {
		if err := s.tick(true); err != nil {
			return err
		}
	}
	for range 300 {
		if err := s.tick(false); err != nil {
			return err
		}
	}
	last := usage.At(s.now, testSchedule.Length)
	for w := last - 6; w < last-1; w++ {
		if _, ok := s.got[w]; !ok {
			return fmt.Errorf("window %d of %d is not reported", w, last)
		}
	}
	return nil
}

// Guards against a window with two counts, a token that goes back, A, B, A within the
// lease, and a window that is never reported.
func TestReports(t *testing.T) {
	seed, err := runs.FirstFailure(1, 300, func(seed uint64) error {
		return play(false, rand.New(rand.NewPCG(seed, 1)).IntN)
	})
	if err != nil {
		t.Fatalf("seed %d: %v", seed, err)
	}
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if err := play(false, rand.New(rand.NewPCG(seed, 2)).IntN); err != nil {
			t.Fatal(err)
		}
	})
	is := is.New(t)
	is.True(play(true, rand.New(rand.NewPCG(1, 1)).IntN) != nil) // a fault without recorded counts
}

// Guards against a backlog that grows without bound, windows that are reported without
// their counts, and counts that a receiver cannot read.
func TestGiveUp(t *testing.T) {
	is := is.New(t)
	b := Box{}.Start(100, []usage.Window{3, 98, 99})
	is.Equal(b.Next, usage.Window(98))
	huge := func(usage.Window) counts { return counts{"w": math.MaxUint64} }
	b, out := b.Record(testSchedule, usage.Window(104).End(5*time.Second), huge)
	is.Equal(b.Next, usage.Window(104))
	is.Equal(len(out.GivenUp), 0)
	is.Equal(out.Clamped["w"], usage.Window(103))
	b = b.Acknowledge(99)
	is.Equal(b.Pending[0], Report{100, counts{"w": maxCount}})
	b, out = b.Record(testSchedule, usage.Window(129).End(5*time.Second), huge)
	is.Equal(out.GivenUp, []Span{{104, 119}, {100, 102}})
	is.Equal(len(b.Pending), MaxPending)
	is.Equal(b.Next, usage.Window(129))
	data, err := b.Encode()
	is.NoErr(err)
	back, err := Decode(data)
	is.NoErr(err)
	is.Equal(back, b)
}

// Guards against a log that grows by the whole backlog with each renewal of the lease,
// while the receiver is down.
func TestRenewalHasNoData(t *testing.T) {
	is := is.New(t)
	s := NewSender("usage", duty.NewMember(duty.Holder{Instance: "c"}, testLease), testSchedule, Pacer{})
	in := Input{
		Term: 1, Boot: time.Unix(100, 0), Now: usage.Window(1000).End(testSchedule.Length),
		Totals:  func(usage.Window) counts { return counts{"w": 1} },
		Windows: func() []usage.Window { return []usage.Window{1000} },
	}
	renewals := 0
	for range 90 {
		in.Boot, in.Now = in.Boot.Add(100*time.Millisecond), in.Now.Add(100*time.Millisecond)
		next, action, err := s.Step(in)
		is.NoErr(err)
		s = next
		if c := action.Send; c != nil {
			s = s.Answered(c.Report.Window, corianderwing.UsageResult{}, in.Boot)
		}
		if c := action.Propose; c != nil {
			before := in.State.Data
			in.State, err = in.State.Apply(c)
			is.NoErr(err)
			if len(c.Data) == 0 {
				renewals++
				is.Equal(in.State.Data, before)
			}
		}
	}
	is.True(renewals > 0)
	box, err := Decode(in.State.Data)
	is.NoErr(err)
	is.Equal(len(box.Pending), 2)
}

// BenchmarkEncode measures the bytes that one change of the duty adds to the log.
func BenchmarkEncode(b *testing.B) {
	for _, size := range []struct{ workspaces, pending int }{{87, 1}, {87, MaxPending}, {3000, 1}, {3000, MaxPending}} {
		b.Run(fmt.Sprintf("workspaces=%d/pending=%d", size.workspaces, size.pending), func(b *testing.B) {
			var box Box
			for w := range size.pending {
				c := counts{}
				for i := range size.workspaces {
					c[corianderwing.WorkspaceID(fmt.Sprintf("name%04d", i))] = uint64(300 + i)
				}
				box.Pending = append(box.Pending, Report{usage.Window(356022982 + w), c})
			}
			n := 0
			for range b.N {
				data, _ := box.Encode()
				n = len(data)
			}
			b.ReportMetric(float64(n), "bytes")
		})
	}
}
