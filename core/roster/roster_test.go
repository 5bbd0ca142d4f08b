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

// newMembers returns replicas in two domains of each of three regions, all heard of.
func newMembers() []Member {
	var list []Member
	for i := range 6 {
		region := string(rune('a' + i/2))
		list = append(list, Member{
			ID: corianderwing.InstanceID(fmt.Sprint("m", i)), Addr: fmt.Sprint("10.0.0.", i), LastContact: now,
			Domain: corianderwing.DomainID(fmt.Sprint(region, i%2)), Region: corianderwing.RegionID(region),
		})
	}
	return list
}

// converge applies changes until none is due.
func converge(t *testing.T, list []Member, losses int) []Member {
	t.Helper()
	for range 40 {
		c, ok := NextChange(list, list[0].ID, VoterCount(losses), now)
		if !ok {
			return list
		}
		next := list[:0:0]
		for _, m := range list {
			switch {
			case m.ID == c.Instance && c.Op == raft.Remove:
				if m.Voter {
					m.Voter = false
				} else {
					continue
				}
			case m.ID == c.Instance && c.Op == raft.Promote:
				m.Voter = true
			}
			next = append(next, m)
		}
		list = next
	}
	t.Fatal("the membership does not settle")
	return nil
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

// Guards against a group that loses its majority with the losses that it has to
// bear, or with a whole region.
func TestVotersAreSpread(t *testing.T) {
	is := is.New(t)
	list := newMembers()
	list[0].Voter = true
	list = converge(t, list, 2)
	n, _, regions := voters(list)
	is.Equal(n, 5)
	for _, inRegion := range regions {
		is.True(inRegion <= 2) // the others keep three of five
	}
}

// Guards against a lost voter that is not replaced, and against a replica whose
// disk was lost and that counts as two.
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

	// The instance of a former life comes back under a new id.
	list = converge(t, append(newMembers(), Member{ID: "m5b", Addr: "10.0.0.5", Domain: "c1", Region: "c", LastContact: now}), 2)
	list[5].LastContact = now.Add(-replaceAfter)
	for _, m := range converge(t, list, 2) {
		is.True(m.ID != "m5")
	}
}

// Guards against a learner that votes before it has the log.
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
