package gate

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/io/follow"
	"corianderwing/io/plane"
)

// refusingControl is a Control whose allocator refuses every slot.
type refusingControl struct{ *grantingControl }

func (refusingControl) Acquire(context.Context, *plane.AcquireRequest) (*plane.AcquireResponse, follow.SlotSource, bool) {
	return &plane.AcquireResponse{Error: corianderwing.Errorf(corianderwing.NoCapacity, "full")}, follow.SlotSource{Peer: "control", Domain: "b"}, true
}

// Guards against a log that does not tell which allocator refused a request.
func TestRefusalNamesAllocator(t *testing.T) {
	for name, c := range map[string]struct {
		control func(*grantingControl) Control
		want    string
	}{
		"control instance": {func(c *grantingControl) Control { return refusingControl{c} }, `"refused_in":"b","refused_by":"control"`},
		"entry instance":   {func(c *grantingControl) Control { return silentControl{c} }, `"refused_in":"","refused_by":""`},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out lockedBuffer
			s := newTestServer(c.control(newGrantingControl(t, "127.0.0.1:1")), &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &out}})
			defer s.Close()
			s.NotifyChange()
			for s.pool("files") == nil {
				time.Sleep(time.Millisecond)
			}
			send(s, 1)
			is.True(strings.Contains(out.String(), c.want))
		})
	}
}
