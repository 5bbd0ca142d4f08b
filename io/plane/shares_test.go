package plane

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/quota"
)

// successor is a leader that took over from another one after a restart of all control
// instances.
type successor struct {
	*leaderState
	view      *model.View
	committed *quota.Record
}

// newSuccessor returns a leader that has applied nothing yet.
func newSuccessor(committed *quota.Record) *successor {
	s := &successor{leaderState: newLeaderState(time.Second), view: model.New(), committed: committed}
	s.leaderState.revision = func() corianderwing.Revision { return s.view.Revision() }
	s.leaderState.quotaRecord = func() *quota.Record { return s.committed }
	s.leaderState.members = func() []string { return []string{"10.0.0.1:7000", "10.0.0.2:7000"} }
	s.tolerance = RateTolerance{Window: 5 * time.Second}
	return s
}

// replay applies the log.
func (s *successor) replay(is *is.I) {
	view, err := s.view.Apply(&model.Command{Edit: &corianderwing.Edit{
		WorkspacePolicies: []corianderwing.WorkspacePolicy{{Name: "shop", Version: 1, Keys: []string{"k"}, Rate: 20, Burst: 10}},
	}}, time.Unix(1000, 0))
	is.NoErr(err)
	s.view = view
}

// ask returns the tokens that a control instance gets for its report, after the leader
// has committed the record that it wants.
func (s *successor) ask(replica corianderwing.InstanceID, now time.Time, entries ...reportedEntry) int {
	q := &reportRequest{Replica: replica, Incarnation: 1, Entries: entries, Demands: []quota.Demand{{Workspace: "shop", Rate: 40}}}
	s.recordReport(1, q, now)
	shares := s.allocateShares(1, q, now, s.view, now)
	if change := s.nextQuotaChange(1, s.view, now); change != nil {
		s.committed = s.committed.Apply(change)
		s.quotaChanged(1, change)
		shares = s.allocateShares(1, q, now, s.view, now)
	}
	return shares[0].Tokens
}

// Guards against tokens that are handed out twice because a control instance hears
// reports as the leader before it has replayed its log, and takes the site for a new one
// (QUOTA).
func TestLeaderBeforeReplay(t *testing.T) {
	is := is.New(t)
	for name, c := range map[string]struct {
		committed *quota.Record
		most      int // tokens during the grace period
	}{
		"all tokens may be in use":                   {&quota.Record{Ceilings: quota.Ceilings{"shop": 106}}, 0},
		"half of them":                               {&quota.Record{Ceilings: quota.Ceilings{"shop": 53}}, 53},
		"no record, as an earlier version leaves it": {nil, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSuccessor(nil)
			now := time.Unix(2000, 0)
			s.recordReport(1, &reportRequest{Replica: "10.0.0.1-7000.a"}, now)
			s.committed = c.committed
			s.replay(is)
			for range 20 {
				now = now.Add(400 * time.Millisecond)
				n := s.ask("10.0.0.1-7000.a", now)
				is.True(n <= c.most && n >= c.most-1)
			}
			now = now.Add(quota.GracePeriod(5 * time.Second))
			is.True(s.ask("10.0.0.1-7000.a", now) > 50)
		})
	}
	s := newSuccessor(nil)
	s.founded = true
	s.replay(is)
	is.True(s.ask("10.0.0.1-7000.a", time.Unix(2000, 0)) > 50) // nobody had any before
}

// Guards against a new leader that takes tokens for free which an entry instance may
// have that it has not heard of since, or that has shares from a control instance which
// it no longer follows, and against one that keeps them back for longer than a window
// after it has heard of all.
func TestTokensAreFreeOnceAllReported(t *testing.T) {
	is := is.New(t)
	s := newSuccessor(&quota.Record{Ceilings: quota.Ceilings{"shop": 106}, Holders: []corianderwing.InstanceID{"entry-1"}})
	s.replay(is)
	entry := reportedEntry{Instance: corianderwing.Instance{ID: "entry-1"}, Age: 100}
	now := time.Unix(2000, 0)
	is.Equal(s.ask("10.0.0.2-7000.b", now), 0)
	is.Equal(s.ask("10.0.0.1-7000.a", now, entry), 0) // the heartbeat is older than the term
	now = now.Add(500 * time.Millisecond)
	is.Equal(s.ask("10.0.0.1-7000.a", now), 0)
	entry.SharesElsewhere = true
	is.Equal(s.ask("10.0.0.1-7000.a", now, entry), 0)
	now = now.Add(500 * time.Millisecond)
	is.Equal(s.ask("10.0.0.1-7000.a", now, entry), 0)
	entry.SharesElsewhere = false
	is.Equal(s.ask("10.0.0.1-7000.a", now, entry), 0)
	now = now.Add(5 * time.Second) // a token that was used just before the report
	is.Equal(s.ask("10.0.0.1-7000.a", now, entry), 0)
	now = now.Add(100 * time.Millisecond)
	is.True(s.ask("10.0.0.1-7000.a", now, entry) > 50)
}
