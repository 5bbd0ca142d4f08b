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

// Guards against entry instances that keep following a control instance which hears
// from the leader but cannot store changes, for example because its disk is full: they
// ran requests outside their home regions, under settings that were 22 s old.
func TestLaggingControlConfirmsOnlyItsState(t *testing.T) {
	is := is.New(t)
	now := clock.Boot()
	m := model.NewMachine(time.Now)
	p := &Plane{
		machine:        m,
		controls:       []ControlInstance{{PeerAddr: "c"}},
		localEntries:   map[corianderwing.InstanceID]entryRecord{},
		quotaAllocator: quota.NewAllocator(time.Second, time.Time{}),
		reserve:        quota.NewLimiter(time.Second),
	}
	heartbeat := func() *HeartbeatResponse {
		return p.handleHeartbeat(&HeartbeatRequest{Entry: corianderwing.Instance{ID: "e"}})
	}
	change := func(i int) {
		data, err := model.Encode(&model.Command{Evacuate: &model.Evacuation{Domain: "a", On: i%2 == 1}})
		is.NoErr(err)
		m.Apply(corianderwing.Index(i), data)
	}
	change(1)
	p.applyReportResponse(now.Add(-5*time.Second), &reportResponse{Revision: 1})
	is.True(heartbeat().Confirmed)
	p.applyReportResponse(now.Add(-time.Second), &reportResponse{Revision: 2})
	p.applyReportResponse(now, &reportResponse{Revision: 3})
	r := heartbeat()
	is.Equal(r.Revision, corianderwing.Revision(1))
	is.True(time.Duration(r.Age)*time.Millisecond >= 5*time.Second) // it lacks two changes since
	change(2)
	r = heartbeat()
	is.Equal(r.Revision, corianderwing.Revision(2))
	is.True(time.Duration(r.Age)*time.Millisecond >= time.Second)
	change(3)
	r = heartbeat()
	is.Equal(r.Revision, corianderwing.Revision(3))
	is.True(time.Duration(r.Age)*time.Millisecond < time.Second)
}
