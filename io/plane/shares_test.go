package plane

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/quota"
)

// Guards against a new leader that hands out tokens which the entry instances of
// a control instance may be using that has not reported yet, and against one
// that keeps them back although all control instances have reported.
func TestNewLeaderWaitsForControls(t *testing.T) {
	is := is.New(t)
	view, err := model.New().Apply(&model.Command{Edit: &corianderwing.Edit{
		WorkspacePolicies: []corianderwing.WorkspacePolicy{{Name: "shop", Version: 1, Keys: []string{"k"}, Rate: 20, Burst: 10}},
	}}, time.Unix(1000, 0))
	is.NoErr(err)
	l := newLeaderState(time.Second)
	l.revision = view.Revision
	l.tolerance = RateTolerance{Window: 5 * time.Second}
	l.knownControls = func(time.Time) []string { return []string{"10.0.0.1:7000", "10.0.0.2:7000"} }
	ask := func(replica corianderwing.InstanceID, now time.Time) int {
		q := &reportRequest{Replica: replica, Incarnation: 1, Demands: []quota.Demand{{Workspace: "shop", Rate: 5}}}
		l.recordReport(1, q, now)
		return l.allocateShares(1, q, view, now)[0].Tokens
	}
	now := time.Unix(2000, 0)
	is.Equal(ask("10.0.0.1-7000.a", now), 0)
	now = now.Add(3 * time.Second)
	is.Equal(ask("10.0.0.1-7000.a", now), 0)
	is.Equal(ask("10.0.0.2-7000.b", now), 0)
	now = now.Add(time.Second)
	is.True(ask("10.0.0.1-7000.a", now) > 0)
}
