package plane

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
	"corianderwing/core/quota"
	"corianderwing/io/clock"
)

// Guards against entry instances that keep sending the full share of requests to a
// new version on behalf of a control instance that has lost the leader: the leader
// may have rolled the move back since.
func TestMoveSharesExpireWithoutLeader(t *testing.T) {
	is := is.New(t)
	p := &Plane{
		machine:        model.NewMachine(time.Now),
		quotaAllocator: quota.NewAllocator(5*time.Second, time.Time{}),
		reserve:        quota.NewLimiter(5 * time.Second),
		localEntries:   map[corianderwing.InstanceID]entryRecord{},
		controls:       []ControlInstance{{PeerAddr: "c"}},
		moveShares:     []MoveShare{{Pool: "files", Move: "m", Share: 0.8}},
	}
	for _, c := range []struct {
		age    time.Duration
		shares int
	}{{0, 1}, {moveShareTTL - time.Second, 1}, {moveShareTTL + time.Millisecond, 0}, {time.Hour, 0}} {
		p.confirmedAt = clock.Boot().Add(-c.age)
		is.Equal(len(p.handleHeartbeat(&HeartbeatRequest{}).MoveShares), c.shares)
	}
}
