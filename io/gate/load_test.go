package gate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/place"
	"corianderwing/io/follow"
	"corianderwing/io/plane"
)

// recordingControl records the workspaces that slots are requested for, and the loads
// that come back with them.
type recordingControl struct {
	*grantingControl
	workspaces []corianderwing.WorkspaceID
	loads      []place.LoadReport
}

func (c *recordingControl) Acquire(ctx context.Context, q *plane.AcquireRequest) (*plane.AcquireResponse, follow.SlotSource, bool) {
	c.workspaces = append(c.workspaces, q.Workspace)
	return c.grantingControl.Acquire(ctx, q)
}

func (c *recordingControl) Release(_ follow.SlotSource, _ corianderwing.PoolID, o place.Outcome) {
	c.loads = append(c.loads, o.Load)
}

// Guards against an allocator that does not learn whose request waits, or how long work
// takes at the upstream, and against using a load that cannot be read.
func TestAllocatorLearnsWorkspaceAndLoad(t *testing.T) {
	is := is.New(t)
	load := "3,2,9,250"
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Server-Load", load)
	}))
	defer up.Close()
	control := &recordingControl{grantingControl: newGrantingControl(t, strings.TrimPrefix(up.URL, "http://"))}
	s := startTestServer(t, control)
	is.Equal(send(s, 1).Code, http.StatusOK)
	load = "3,2,9,-250"
	is.Equal(send(s, 2).Code, http.StatusOK)
	is.Equal(control.workspaces, []corianderwing.WorkspaceID{"main", "main"})
	is.Equal(control.loads, []place.LoadReport{{Running: 2, Waiting: 2, WorkTime: 250, Valid: true}, {}})
	is.Equal(s.meter.Counter("load.invalid").Count(), int64(1))
}
