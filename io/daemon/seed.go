package daemon

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/io/clock"
)

const (
	// seedTimeout bounds one attempt to apply all commands of a seed.
	seedTimeout = 10 * time.Second
	// seedInterval is the delay before an attempt is repeated.
	seedInterval = 200 * time.Millisecond
)

// proposer proposes commands to a control group.
type proposer interface {
	Propose(ctx context.Context, g corianderwing.GroupID, c corianderwing.Command) (corianderwing.Result, error)
}

// seeder applies the settings file's tree to a group that has none. Every voter
// runs one. The request ids and the first base are fixed, and each later base is the
// stored result of an earlier command, so all of them propose the same commands, each
// of which is applied once.
type seeder struct {
	group    corianderwing.GroupID
	commands []corianderwing.Command
	client   proposer
	log      *log.Logger
}

// run repeats the seed until every command has a result or ctx ends. Part of a seed
// may be visible in the group long before the rest is committed, so only the results
// show that it is complete.
func (s *seeder) run(ctx context.Context) {
	for ctx.Err() == nil {
		rejected, err := s.apply(ctx)
		if rejected != nil {
			s.log.Info().Str("group", string(s.group)).Err(rejected).Msg("the group rejected the seed")
			return
		}
		if err == nil {
			return
		}
		s.log.Debug().Str("group", string(s.group)).Err(err).Msg("seed not applied yet")
		clock.Sleep(ctx, seedInterval)
	}
}

// apply proposes all commands in order. It returns the result of a command that the
// group rejected, such as the first one if the group has a tree, or an error if the
// outcome of a command is not known. The result of a request is final.
func (s *seeder) apply(ctx context.Context) (rejected, err error) {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	var base corianderwing.Revision // of a group without a tree
	for _, c := range s.commands {
		c.Base = base
		result, err := s.client.Propose(ctx, s.group, c)
		if err != nil {
			return nil, err
		}
		if result.Error != nil {
			return result.Error, nil
		}
		base = max(base, result.Revision)
	}
	return nil, nil
}
