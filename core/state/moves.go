package state

import "corianderwing"

func startMove(v *View, c *corianderwing.Command, _ *corianderwing.Result) (bool, error) {
	if c.Move == nil {
		return false, missingError("move")
	}
	m := *c.Move
	if m.ID == "" {
		m.ID = c.Request
	}
	if m.Start.IsZero() {
		m.Start = c.Now
	}
	m.Start, m.By = m.Start.UTC().Round(0), m.By.UTC().Round(0)
	m.Outcome, m.Evidence = corianderwing.Moving, ""
	if err := checkMove(&m, c); err != nil {
		return false, err
	}
	if last, ok := v.moves[m.Pool]; ok && last.Outcome == corianderwing.Moving {
		return false, corianderwing.Errorf(corianderwing.InvalidChange,
			"move %s of pool %s to version %s is not ended", last.ID, last.Pool, last.To)
	}
	v.moves = withKey(v.moves, m.Pool, m)
	return true, nil
}

func checkMove(m *corianderwing.Move, c *corianderwing.Command) error {
	// The order is fixed, because every replica must report the same field.
	fields := [][2]string{{"pool", string(m.Pool)}, {"from", string(m.From)}, {"to", string(m.To)}, {"id", string(m.ID)}}
	for _, f := range fields {
		if !corianderwing.ValidID(f[1]) {
			return corianderwing.Errorf(corianderwing.InvalidInput, "move: %s is %q, which is no id", f[0], f[1])
		}
	}
	if m.From == m.To {
		return corianderwing.Errorf(corianderwing.InvalidInput, "move: from and to are both %s", m.To)
	}
	if !validTime(m.Start) || !validTime(m.By) {
		return corianderwing.Errorf(corianderwing.InvalidInput, "move: start and by need a year from 2000 to 9999")
	}
	if !m.By.After(m.Start) || !m.By.After(c.Now) {
		return corianderwing.Errorf(corianderwing.InvalidInput, "move: by is %s, allowed: after start and after now, %s", m.By, c.Now)
	}
	return nil
}

func endMove(v *View, c *corianderwing.Command, _ *corianderwing.Result) (bool, error) {
	end := c.Move
	if end == nil {
		return false, missingError("move")
	}
	m, ok := v.moves[end.Pool]
	if !ok || m.ID != end.ID {
		return false, corianderwing.Errorf(corianderwing.NotFound, "pool %q has no move %q", end.Pool, end.ID)
	}
	if end.Outcome != corianderwing.Done && end.Outcome != corianderwing.RolledBack {
		return false, corianderwing.Errorf(corianderwing.InvalidInput, "outcome is %q, allowed: done or back", end.Outcome)
	}
	if len(end.Evidence) > maxTextBytes {
		return false, tooLongError("evidence", len(end.Evidence))
	}
	if m.Outcome == end.Outcome {
		return false, nil
	}
	if m.Outcome != corianderwing.Moving {
		return false, corianderwing.Errorf(corianderwing.InvalidChange, "move %s has already ended with %s", m.ID, m.Outcome)
	}
	m.Outcome, m.Evidence = end.Outcome, end.Evidence
	v.moves = withKey(v.moves, m.Pool, m)
	return true, nil
}

// assignSeat assigns an instance the lowest free seat of its failure domain, unless it
// already has a seat there. A seat in another domain is released.
func assignSeat(v *View, c *corianderwing.Command, r *corianderwing.Result) (bool, error) {
	want, err := requestedSeat(c)
	if err != nil {
		return false, err
	}
	if current, ok := v.seats[want.Instance]; ok && current.Domain == want.Domain {
		r.Seat = &current
		return false, nil
	}
	taken := map[int]bool{}
	for _, s := range v.seats {
		if s.Domain == want.Domain {
			taken[s.Index] = true
		}
	}
	n := v.tree.Seats(want.Domain)
	for taken[want.Index] {
		want.Index++
	}
	if want.Index >= n {
		return false, corianderwing.Errorf(corianderwing.NoCapacity, "failure domain %s has %d seats and all are taken", want.Domain, n)
	}
	v.seats = withKey(v.seats, want.Instance, want)
	r.Seat = &want
	return true, nil
}

func releaseSeat(v *View, c *corianderwing.Command, _ *corianderwing.Result) (bool, error) {
	want, err := requestedSeat(c)
	if err != nil {
		return false, err
	}
	if current, ok := v.seats[want.Instance]; !ok || current.Domain != want.Domain {
		return false, nil
	}
	v.seats = withoutKey(v.seats, want.Instance)
	return true, nil
}

func requestedSeat(c *corianderwing.Command) (corianderwing.Seat, error) {
	if c.Seat == nil {
		return corianderwing.Seat{}, missingError("seat")
	}
	if !corianderwing.ValidID(string(c.Seat.Domain)) || !corianderwing.ValidID(string(c.Seat.Instance)) {
		return corianderwing.Seat{}, corianderwing.Errorf(corianderwing.InvalidInput,
			"seat: domain %q and instance %q must be ids", c.Seat.Domain, c.Seat.Instance)
	}
	return corianderwing.Seat{Domain: c.Seat.Domain, Instance: c.Seat.Instance}, nil
}
