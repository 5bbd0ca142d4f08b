package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/io/relay"
)

// Guards against requests that are taken from an upstream which works on them,
// because nobody knew yet how long they take, because no other attempt was left,
// or while the instance stops.
func TestSilenceOfUpstream(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	end := now.Add(ms(4000))
	until := func(work, longest time.Duration, change func(v *visit, t *slot)) time.Duration {
		v := &visit{s: &Server{}, rule: &corianderwing.Rule{MaxAttempts: 2}, body: relay.Empty, deadline: end}
		s := &slot{pool: newPool("files", nil, 0.2), work: work, longest: longest}
		if change != nil {
			change(v, s)
		}
		return v.firstByte(s, now).Sub(now)
	}
	is.Equal(until(ms(105), 0, nil), ms(4000))        // nothing was measured yet
	is.Equal(until(ms(270), ms(880), nil), ms(2200))  // the object may be unknown there
	is.Equal(until(ms(500), ms(880), nil), ms(3000))  // a slow upstream
	is.Equal(until(ms(900), ms(1000), nil), ms(4000)) // no time for another one
	is.Equal(until(ms(270), ms(880), func(v *visit, _ *slot) { v.rule.AtMostOnce = true }), ms(4000))
	is.Equal(until(ms(270), ms(880), func(v *visit, _ *slot) { v.s.leaving.Store(true) }), ms(4000))
	is.Equal(until(ms(270), ms(880), func(_ *visit, s *slot) { s.pool.budget.level = 0 }), ms(4000))
}

// Guards against a limit on the silence of an upstream that outlives the order
// to stop.
func TestLongerWhileStopping(t *testing.T) {
	is := is.New(t)
	end := time.Unix(1000, 0)
	v := &visit{s: &Server{}, deadline: end}
	is.True(v.longer().IsZero())
	v.s.leaving.Store(true)
	is.Equal(v.longer(), end)
}
