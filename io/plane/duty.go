package plane

import (
	"context"

	"corianderwing"
	"corianderwing/core/duty"
	"corianderwing/core/model"
)

// Leading returns the term in which this instance leads the group, or 0.
func (p *Plane) Leading() corianderwing.Term {
	if term, ok := p.replica.IsLeader(); ok {
		return term
	}
	return 0
}

// Incarnation returns the number of this start of the instance.
func (p *Plane) Incarnation() corianderwing.Incarnation { return p.incarnation }

// Duty returns the state of a duty as applied by this instance.
func (p *Plane) Duty(n duty.Name) duty.State { return p.machine.Duty(n) }

// ChangeDuty commits a change of a duty if this instance leads in a term.
func (p *Plane) ChangeDuty(ctx context.Context, term corianderwing.Term, c *duty.Change) error {
	return p.proposeInTerm(ctx, term, &model.Command{Duty: c})
}
