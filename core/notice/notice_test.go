package notice

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an announcement that is taken for revoked: responses overtake each
// other, and one without the announcement may be the older one.
func TestLeavingIsNotRevoked(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	is.Equal(State{}.Judge(now), Admit)
	s := State{}.Observe(Report{Leaving: true}, now).Observe(Report{}, now)
	is.Equal(s.Judge(now), Leaving)
	is.Equal(s.Judge(now.Add(24*time.Hour)), Leaving)
}
