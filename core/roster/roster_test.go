package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/raft"
)

var now = time.Unix(1000, 0)

// newMembers returns live replicas in two failure domains of each of three regions.
func newMembers() []Member {
	var list []Member
	for i := range 6 {
		region := string(rune('a' + i/2))
		list = append(list, Member{
			ID: corianderwing.InstanceID(fmt.Sprint("m", i)), Addr: fmt.Sprint("10.0.0.", i), LastContact: now, Match: 1,
			Domain: corianderwing.DomainID(fmt.Sprint(region, i%2)), Region: corianderwing.RegionID(region),
		})
	}
	return list
}

// converge applies membership changes until none is due.
func converge(t *testing.T, list []Member, losses int) []Member {
	t.Helper()
	for range 40 {
		c, ok := NextChange(list, list[0].ID, VoterCount(losses), now)
		if !ok {
			return list
		}
		list = changed(list, c)
	}
	t.Fatal("the membership does not converge")
	return nil
}

// changed returns the members after a change. A removed voter that is alive joins
// again as a learner.
func changed(list []Member, c raft.MembershipChange) []Member {
	next := list[:0:0]
	for _, m := range list {
		switch {
		case m.ID == c.Instance && c.Op == raft.Remove:
			if !m.Voter || now.Sub(m.LastContact) > 0 {
				continue
			}
			m.Voter = false
		case m.ID == c.Instance && c.Op == raft.Promote:
			m.Voter = true
		}
		next = append(next, m)
	}
	return next
}

func voters(list []Member) (n, live int, regions map[corianderwing.RegionID]int) {
	regions = map[corianderwing.RegionID]int{}
	for _, m := range list {
		if !m.Voter {
			continue
		}
		n++
		regions[m.Region]++
		if now.Sub(m.LastContact) < replaceAfter {
			live++
		}
	}
	return n, live, regions
}

// Guards against a group that loses its majority through the number of losses it
// must tolerate, or through the loss of a region.
func TestVotersAreSpread(t *testing.T) {
	is := is.New(t)
	list := newMembers()
	list[0].Voter = true
	list = converge(t, list, 2)
	n, _, regions := voters(list)
	is.Equal(n, 5)
	for _, inRegion := range regions {
		is.True(inRegion <= 2) // the other regions keep three of five voters
	}
}

// Guards against a lost voter that is not replaced, and against an instance that
// lost its disk and is counted as two replicas.
func TestLostVotersAreReplaced(t *testing.T) {
	is := is.New(t)
	list := newMembers()
	list[0].Voter = true
	list = converge(t, list, 2)
	for i := range list {
		if list[i].Voter && list[i].ID != list[0].ID {
			list[i].LastContact = now.Add(-time.Minute)
			break
		}
	}
	n, live, _ := voters(converge(t, list, 2))
	is.Equal(n, 5)
	is.Equal(live, 5)

	// An instance comes back under a new replica ID.
	list = converge(t, append(newMembers(), Member{ID: "m5b", Addr: "10.0.0.5", Domain: "c1", Region: "c", LastContact: now, Match: 1}), 2)
	list[5].LastContact = now.Add(-replaceAfter)
	for _, m := range converge(t, list, 2) {
		is.True(m.ID != "m5")
	}
}

// Guards against a learner that is promoted before it has caught up with the log.
func TestLaggingLearnerIsNotPromoted(t *testing.T) {
	is := is.New(t)
	list := newMembers()
	list[0].Voter = true
	for i := range list[1:] {
		list[i+1].Lag = maxLag + 1
	}
	_, ok := NextChange(list, list[0].ID, VoterCount(2), now)
	is.True(!ok)
}

// Guards against an instance that came back with an empty disk and whose old replica
// counts as a voter for seconds, and against fewer voters than keep a commit on three
// disks meanwhile (review/1).
func TestReplacedVoterIsRemovedAtOnce(t *testing.T) {
	is := is.New(t)
	list := converge(t, founded(newMembers()), 2)
	for i := range list {
		if list[i].Voter && list[i].ID != list[0].ID {
			list[i].LastContact = now.Add(-time.Second)
			back := list[i]
			back.ID, back.Voter, back.LastContact = back.ID+"b", false, now
			list = append(list, back)
		}
	}
	for {
		c, ok := NextChange(list, list[0].ID, VoterCount(2), now)
		if !ok {
			break
		}
		list = changed(list, c)
		n, _, _ := voters(list)
		is.True(n >= 4)
	}
	n, live, _ := voters(list)
	is.Equal(n, 5)
	is.Equal(live, 5)
	for _, m := range list {
		is.Equal(m.LastContact, now) // no old replica is left
	}
}

// Guards against a replica that was added by an outdated request to join, never
// replied, and replaces the one that runs at its address.
func TestReplicaThatNeverRepliedReplacesNone(t *testing.T) {
	is := is.New(t)
	list := converge(t, founded(newMembers()), 2)
	for i, m := range list {
		list[i].LastContact = now.Add(-100 * time.Millisecond)
		list = append(list, Member{ID: m.ID + "b", Addr: m.Addr, Domain: m.Domain, Region: m.Region, LastContact: now})
	}
	_, ok := NextChange(list, list[0].ID, VoterCount(2), now)
	is.True(!ok)
}

// Guards against two voters that are lost for good and never replaced, because a lost
// one is removed only once as many as before are alive, and no second one is promoted
// before that.
func TestTwoSilentVotersAreReplaced(t *testing.T) {
	is := is.New(t)
	list := converge(t, founded(newMembers()), 2)
	lost := 0
	for i := range list {
		if list[i].Voter && list[i].ID != list[0].ID && lost < 2 {
			list[i].LastContact = now.Add(-replaceAfter)
			lost++
		}
	}
	for _, id := range []corianderwing.InstanceID{"m6", "m7"} {
		list = append(list, Member{ID: id, Addr: string(id), Domain: "a0", Region: "a", LastContact: now, Match: 1})
	}
	n, live, _ := voters(converge(t, list, 2))
	is.Equal(n, 5)
	is.Equal(live, 5)
}

// founded makes the first member a voter.
func founded(list []Member) []Member {
	list[0].Voter = true
	return list
}
