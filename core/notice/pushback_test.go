package notice

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a pushback that is ended early by a later, shorter one, or that is
// obeyed for longer than MaxPushback.
func TestPushbacksOverlap(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return now.Add(d) }
	s := State{}.Observe(Report{Pushback: 5 * time.Second}, now).Observe(Report{Pushback: time.Second}, at(time.Second))
	is.Equal(s.Judge(at(5*time.Second-1)), PushedBack)
	is.Equal(s.Judge(at(5*time.Second)), Admit)
	is.True(s.IsOver(at(5 * time.Second)))
	s = State{}.Observe(Report{Pushback: 1 << 62}, now)
	is.Equal(s.Pushback.Until, at(MaxPushback))
	is.Equal(s.Judge(at(MaxPushback)), Admit)
}

// Guards against an upstream that stays without requests for minutes although it
// has recovered, and against more than one trial at a time or two in all.
func TestTrialsDuringLongPushback(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := State{}.Observe(Report{Pushback: time.Minute}, now)
	is.Equal(s.Judge(now.Add(trialAfter-1)), PushedBack)
	is.Equal(s.Pushback.FreeAt(), now.Add(trialAfter))
	now = now.Add(trialAfter)
	is.Equal(s.Judge(now), Trial)
	s = s.BeginTrial()
	is.Equal(s.Judge(now), PushedBack)
	is.Equal(s.Pushback.FreeAt(), s.Pushback.Until)
	s = s.EndTrial()
	is.Equal(s.Judge(now), Trial)
	s = s.BeginTrial().EndTrial()
	is.Equal(s.Judge(now), PushedBack)
	is.Equal(s.Judge(s.Pushback.Until), Admit)
}

// Guards against rejected callers that return together, or before an upstream is
// free.
func TestRetryAfterIsSpread(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	is.Equal(RetryAfter(now.Add(2*time.Second), now, 0), 2*time.Second)
	is.Equal(RetryAfter(now.Add(2*time.Second), now, 0.5), 2250*time.Millisecond)
	is.Equal(RetryAfter(now.Add(time.Minute), now, 0.5), time.Minute+500*time.Millisecond)
	is.Equal(RetryAfter(now.Add(-time.Second), now, 0.5), 50*time.Millisecond)
}

// window is a time in which an upstream wants no requests.
type window struct {
	from, until time.Time
	reached     int // requests that reached it
}

// pushbackModel draws what happens between one instance and one upstream.
type pushbackModel struct {
	state   State
	now     time.Time
	obey    bool
	running map[bool]int // attempts in flight, by whether they are trials
	windows []window
}

// inFlightGrace is the time after a pushback in which requests do not count.
const inFlightGrace = 500 * time.Millisecond

func (m *pushbackModel) send() {
	v := m.state.Judge(m.now)
	if m.obey && v.Refused() {
		return
	}
	if v == Trial {
		m.state = m.state.BeginTrial()
	}
	m.running[v == Trial]++
	for i, w := range m.windows {
		if m.now.After(w.from) && m.now.Before(w.until) {
			m.windows[i].reached++
		}
	}
}

func (m *pushbackModel) respond(trial bool, after time.Duration) {
	if m.running[trial] == 0 {
		return
	}
	m.running[trial]--
	if after > 0 {
		m.state = m.state.Observe(Report{Pushback: after}, m.now)
		m.windows = append(m.windows, window{from: m.now.Add(inFlightGrace), until: m.now.Add(min(after, MaxPushback))})
	}
	if trial {
		m.state = m.state.EndTrial()
	}
}

// broken reports whether more requests reached the upstream than its pushbacks
// allow.
func (m *pushbackModel) broken() bool {
	for _, w := range m.windows {
		if w.reached > 2 {
			return true
		}
	}
	return false
}

// play draws an order of events and reports whether it breaks the rule.
func (m *pushbackModel) play(t *rapid.T) bool {
	m.now, m.running = time.Unix(1000, 0), map[bool]int{}
	for range rapid.IntRange(1, 60).Draw(t, "events") {
		switch rapid.IntRange(0, 3).Draw(t, "event") {
		case 0:
			m.now = m.now.Add(time.Duration(rapid.IntRange(0, 40_000).Draw(t, "ms")) * time.Millisecond)
		case 1:
			m.send()
		default:
			after := rapid.SampledFrom([]time.Duration{0, 300 * time.Millisecond, 2 * time.Second, 45 * time.Second, 5 * time.Minute, 1 << 60}).Draw(t, "after")
			m.respond(rapid.Bool().Draw(t, "trial"), after)
		}
	}
	return m.broken()
}

// Guards against any order of attempts, responses and pushbacks in which an upstream
// gets more requests than its pushbacks allow. Run with -rapid.checks=10000 for as
// many orders.
func TestPushbacksAreObeyed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &pushbackModel{obey: true}
		if m.play(t) {
			t.Fatalf("more than two requests in %+v", m.windows)
		}
	})
}

// Guards against a test of the rule that no order of events can fail.
func TestOrdersBreakRuleIfPushbacksAreOverlooked(t *testing.T) {
	is := is.New(t)
	broken := 0
	for seed := range 1000 {
		if rapid.Custom(func(t *rapid.T) bool { return (&pushbackModel{}).play(t) }).Example(seed) {
			broken++
		}
	}
	is.True(broken > 0)
	t.Logf("%d of 1000 orders break the rule", broken)
}
