package raft

import (
	"encoding/json"
	"slices"

	"corianderwing"
)

// membershipHistory holds the memberships in the log, oldest first. A membership
// takes effect as soon as its entry is appended, so truncating the log must
// restore the previous one.
type membershipHistory struct {
	records []membershipRecord
}

type membershipRecord struct {
	index      corianderwing.Index
	membership corianderwing.Membership
}

func (h *membershipHistory) current() corianderwing.Membership {
	return h.records[len(h.records)-1].membership
}
func (h *membershipHistory) lastIndex() corianderwing.Index { return h.records[len(h.records)-1].index }
func (h *membershipHistory) reset(i corianderwing.Index, v corianderwing.Membership) {
	h.records = []membershipRecord{{i, v}}
}

// at returns the membership in effect at index i.
func (h *membershipHistory) at(i corianderwing.Index) corianderwing.Membership {
	for k := len(h.records) - 1; k > 0; k-- {
		if h.records[k].index <= i {
			return h.records[k].membership
		}
	}
	return h.records[0].membership
}

func (h *membershipHistory) add(e corianderwing.Entry) error {
	var v corianderwing.Membership
	if err := json.Unmarshal(e.Data, &v); err != nil {
		return err
	}
	h.records = append(h.records, membershipRecord{e.Index, v})
	return nil
}

func (h *membershipHistory) truncate(from corianderwing.Index) {
	for len(h.records) > 1 && h.lastIndex() >= from {
		h.records = h.records[:len(h.records)-1]
	}
}

func (h *membershipHistory) compact(i corianderwing.Index) {
	for len(h.records) > 1 && h.records[1].index <= i {
		h.records = h.records[1:]
	}
}

func isVoter(v corianderwing.Membership, id corianderwing.InstanceID) bool {
	return slices.Contains(v.Voters, id)
}

func members(v corianderwing.Membership) []corianderwing.InstanceID {
	return slices.Concat(v.Voters, v.Learners)
}

// quorum returns the number of voters that form a majority.
func quorum(v corianderwing.Membership) int { return len(v.Voters)/2 + 1 }

// apply returns the membership after the change, or an error if the change does
// not fit the current membership.
func (c MembershipChange) apply(v corianderwing.Membership) (corianderwing.Membership, *corianderwing.Error) {
	next := corianderwing.Membership{Voters: slices.Clone(v.Voters), Learners: slices.Clone(v.Learners)}
	learner := slices.Index(next.Learners, c.Instance)
	voter := slices.Index(next.Voters, c.Instance)
	switch {
	case c.Op == AddLearner && c.Instance != "" && learner < 0 && voter < 0:
		next.Learners = append(next.Learners, c.Instance)
	case c.Op == Promote && learner >= 0:
		next.Learners = slices.Delete(next.Learners, learner, learner+1)
		next.Voters = append(next.Voters, c.Instance)
	case c.Op == Remove && learner >= 0:
		next.Learners = slices.Delete(next.Learners, learner, learner+1)
	case c.Op == Remove && voter >= 0 && len(next.Voters) > 1:
		next.Voters = slices.Delete(next.Voters, voter, voter+1)
	default:
		return v, corianderwing.Errorf(corianderwing.InvalidChange, "operation %s on %q is invalid for voters %v and learners %v", c.Op, c.Instance, v.Voters, v.Learners)
	}
	return next, nil
}
