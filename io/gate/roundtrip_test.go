package gate

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/io/relay"
)

// Guards against abandoning an upstream that is still processing the request: when
// no processing time is known yet, when no retry is left, or while the instance is
// stopping.
func TestFirstByteDeadline(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	end := now.Add(ms(4000))
	until := func(work, longest time.Duration, change func(v *exchange, sl *slot)) time.Duration {
		v := &exchange{s: &Server{cfg: Config{Boot: func() time.Time { return now }}}, rule: &corianderwing.Rule{MaxAttempts: 2}, body: relay.NoBody, deadline: end}
		s := &slot{pool: newPool("files", nil, 0.2), expected: work, longest: longest}
		if change != nil {
			change(v, s)
		}
		return v.firstByteDeadline(s, now).Sub(now)
	}
	is.Equal(until(ms(105), 0, nil), ms(4000))        // no measurements yet
	is.Equal(until(ms(270), ms(880), nil), ms(2200))  // the upstream may not know the object
	is.Equal(until(ms(500), ms(880), nil), ms(3000))  // a slow upstream
	is.Equal(until(ms(900), ms(1000), nil), ms(4000)) // no time for another attempt
	is.Equal(until(ms(270), ms(880), func(v *exchange, _ *slot) { v.rule.AtMostOnce = true }), ms(4000))
	is.Equal(until(ms(270), ms(880), func(v *exchange, _ *slot) { v.s.stopping.Store(true) }), ms(4000))
	is.Equal(until(ms(270), ms(880), func(_ *exchange, s *slot) { s.pool.budget.reserve = 0 }), ms(4000))
}

// Guards against a first-byte deadline, set before the instance began to stop, that
// still applies while it is stopping.
func TestFirstByteDeadlineExtendedWhileStopping(t *testing.T) {
	is := is.New(t)
	end := time.Unix(1000, 0)
	v := &exchange{s: &Server{}, deadline: end}
	is.True(v.extendFirstByteDeadline().IsZero())
	v.s.stopping.Store(true)
	is.Equal(v.extendFirstByteDeadline(), end)
}
