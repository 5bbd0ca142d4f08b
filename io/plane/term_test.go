package plane

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
)

// Guards against a leader that was suspended, and whose decision then took effect
// through its successor: it rolled back a move, or removed upstreams, by what it had
// known before.
func TestDecisionOfEarlierTerm(t *testing.T) {
	is := is.New(t)
	p, _, _ := openSingle(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	is.NoErr(p.propose(ctx, &model.Command{Announce: []model.Announcement{{Upstream: corianderwing.Upstream{
		ID: "i-1", Incarnation: 1, Pool: "files", Version: "v1", Domain: "a", Addr: "127.0.0.1:1", Slots: 3, Phase: corianderwing.Ready,
	}}}}))
	is.NoErr(p.Move(ctx, "files", "v2", time.Now().Add(time.Minute)))
	term, ok := p.replica.IsLeader()
	is.True(ok)
	m, _ := p.machine.View().LatestMove("files")
	m.Outcome = corianderwing.RolledBack
	commands := []*model.Command{{EndMove: &m}, {Expire: []model.UpstreamRef{{ID: "i-1", Incarnation: 1}}}}
	for _, c := range commands {
		err := p.proposeInTerm(ctx, term-1, c)
		is.Equal(corianderwing.CodeOf(err), corianderwing.NoLeader)
	}
	now, _ := p.machine.View().LatestMove("files")
	is.Equal(now.Outcome, corianderwing.Moving)
	is.Equal(p.machine.View().NumUpstreams(), 1)
	for _, c := range commands {
		is.NoErr(p.proposeInTerm(ctx, term, c))
	}
	now, _ = p.machine.View().LatestMove("files")
	is.Equal(now.Outcome, corianderwing.RolledBack)
	is.Equal(p.machine.View().NumUpstreams(), 0)
}
