package plane

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/quota"
)

// newLeader returns a leader that knows of two control instances and an entry
// instance with shares from an earlier one, and a function that returns the tokens
// which a control instance gets for its report.
func newLeader(t *testing.T) func(replica corianderwing.InstanceID, now time.Time, entries ...reportedEntry) int {
	t.Helper()
	is := is.New(t)
	view, err := model.New().Apply(&model.Command{Edit: &corianderwing.Edit{
		WorkspacePolicies: []corianderwing.WorkspacePolicy{{Name: "shop", Version: 1, Keys: []string{"k"}, Rate: 20, Burst: 10}},
	}}, time.Unix(1000, 0))
	is.NoErr(err)
	l := newLeaderState(time.Second)
	l.revision = view.Revision
	l.tolerance = RateTolerance{Window: 5 * time.Second}
	l.knownHolders = func(time.Time) []string { return []string{"10.0.0.1:7000", "10.0.0.2:7000", "entry-1"} }
	return func(replica corianderwing.InstanceID, now time.Time, entries ...reportedEntry) int {
		q := &reportRequest{Replica: replica, Incarnation: 1, Entries: entries, Demands: []quota.Demand{{Workspace: "shop", Rate: 5}}}
		l.recordReport(1, q, now)
		return l.allocateShares(1, q, now, view, now)[0].Tokens
	}
}

// Guards against a new leader that hands out tokens which the entry instances of
// a control instance may be using that has not reported yet, and against one
// that keeps them back although all instances have reported.
func TestNewLeaderWaitsForControls(t *testing.T) {
	is := is.New(t)
	ask := newLeader(t)
	entry := reportedEntry{Instance: corianderwing.Instance{ID: "entry-1"}}
	now := time.Unix(2000, 0)
	is.Equal(ask("10.0.0.1-7000.a", now, entry), 0)
	now = now.Add(3 * time.Second)
	is.Equal(ask("10.0.0.1-7000.a", now, entry), 0)
	is.Equal(ask("10.0.0.2-7000.b", now), 0)
	now = now.Add(time.Second)
	is.True(ask("10.0.0.1-7000.a", now, entry) > 0)
}

// Guards against a new leader that hands out the tokens of an entry instance which
// is cut off, or which still has shares from a control instance that it no longer
// follows: one that has restarted does not report them.
func TestNewLeaderWaitsForEntries(t *testing.T) {
	is := is.New(t)
	ask := newLeader(t)
	entry := reportedEntry{Instance: corianderwing.Instance{ID: "entry-1"}, Age: 100}
	now := time.Unix(2000, 0)
	is.Equal(ask("10.0.0.2-7000.b", now), 0)
	is.Equal(ask("10.0.0.1-7000.a", now, entry), 0) // the heartbeat is older than the term
	now = now.Add(time.Second)
	is.Equal(ask("10.0.0.1-7000.a", now), 0)
	entry.SharesElsewhere = true
	is.Equal(ask("10.0.0.1-7000.a", now, entry), 0)
	now = now.Add(time.Second)
	is.Equal(ask("10.0.0.1-7000.a", now, entry), 0)
	entry.SharesElsewhere = false
	is.Equal(ask("10.0.0.1-7000.a", now, entry), 0)
	now = now.Add(time.Second)
	is.True(ask("10.0.0.1-7000.a", now, entry) > 0)
}
