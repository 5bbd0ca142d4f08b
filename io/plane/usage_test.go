package plane

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/phuslu/log"

	"corianderwing"
	"corianderwing/core/quota"
	"corianderwing/core/usage"
)

// Guards against a control instance whose wall clock is wrong, that leads entry
// instances astray and ignores their counts.
func TestWrongClockOfControlInstance(t *testing.T) {
	is := is.New(t)
	var lines bytes.Buffer
	const window = 5 * time.Second
	var u usageState
	u.init(window, 7, &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &lines}})
	boot, truth := time.Unix(5000, 0), time.Unix(1_800_000_000, 0)
	current := usage.At(truth, window)
	heartbeat := func(i int) (*HeartbeatResponse, int) {
		r := &HeartbeatResponse{}
		ignored := u.handleHeartbeat(&HeartbeatRequest{
			Entry: corianderwing.Instance{ID: corianderwing.InstanceID(fmt.Sprint("e-", i)), Incarnation: 1},
			Wall:  truth.UnixMicro(),
			Usage: []usage.WindowCounts{{Window: current, Counts: []usage.Count{{Workspace: "w", Sent: 1}}}},
		}, r, truth.Add(-time.Hour), boot)
		return r, ignored
	}
	r, ignored := heartbeat(1)
	is.Equal(ignored, 1) // two clocks do not tell which of them is wrong
	is.Equal(r.Wall, truth.Add(-time.Hour).UnixMicro())
	for i := range 3 {
		r, ignored = heartbeat(i)
	}
	is.Equal(ignored, 0)
	is.Equal(r.Wall, truth.UnixMicro())
	is.Equal(r.UsageWindow, corianderwing.Millis(5000))
	is.Equal(u.ledger.Totals(current), map[corianderwing.WorkspaceID]uint64{"w": 3})
	is.True(strings.Contains(lines.String(), `"correction_ms":3600000`))
}

// sentSize returns the size of a message as it is sent: compressed CBOR.
func sentSize(b *testing.B, v any) int {
	b.Helper()
	data, err := cbor.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	var out bytes.Buffer
	w, _ := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	w.Write(data)
	w.Close()
	return out.Len()
}

const (
	sizeWindow     = 5 * time.Second
	sizeWorkspaces = 87
	sizeControls   = 6
	sizeRate       = 23 // requests per second at each entry instance
)

// usageSizes plays the entry instances of one of several control instances, and adds up
// the bytes that usage adds to their messages.
type usageSizes struct {
	b         *testing.B
	rand      *rand.Rand
	workspace *rand.Zipf // a few workspaces are large
	demands   []quota.Demand
	recorders []usage.Recorder
	ledger    *usage.Ledger
	sender    *usage.Sender

	heartbeats, heartbeatBytes, reports, reportBytes int
}

var sizeStart, sizeBoot = time.Unix(1_800_000_000, 0), time.Unix(5000, 0)

func newUsageSizes(b *testing.B, instances int) *usageSizes {
	r := rand.New(rand.NewPCG(1, 1))
	s := &usageSizes{
		b: b, rand: r, workspace: rand.NewZipf(r, 1.3, 3, sizeWorkspaces-1),
		recorders: make([]usage.Recorder, (instances+sizeControls-1)/sizeControls),
		ledger:    usage.NewLedger(),
	}
	s.sender = usage.NewSender(s.ledger)
	for i := range s.recorders {
		s.recorders[i].Observe(sizeStart, sizeBoot)
		s.recorders[i].Configure(sizeWindow, usage.Sample{Wall: sizeStart, Sent: sizeBoot, Received: sizeBoot})
	}
	for i := range sizeWorkspaces {
		s.demands = append(s.demands, quota.Demand{Workspace: corianderwing.WorkspaceID(fmt.Sprintf("sese%03d", i)), Rate: r.Float64() * 9, Used: r.IntN(9)})
	}
	return s
}

// serve counts the requests of 200 ms at an entry instance.
func (s *usageSizes) serve(i int, boot time.Time) {
	for range sizeRate {
		if s.rand.IntN(5) == 0 {
			s.recorders[i].Sent(s.demands[s.workspace.Uint64()].Workspace, boot)
		}
	}
}

// heartbeat sends a heartbeat of an entry instance.
func (s *usageSizes) heartbeat(i int, boot time.Time) {
	q := HeartbeatRequest{Demands: s.demands, Entry: corianderwing.Instance{
		ID: corianderwing.InstanceID(fmt.Sprintf("front-cnx-a-%d", i)), PublicAddr: "10.0.0.1:7000",
	}}
	without := sentSize(s.b, q)
	q.Wall, q.Usage = boot.UnixMicro(), s.recorders[i].Report("control")
	s.heartbeats++
	s.heartbeatBytes += sentSize(s.b, q) - without
	source := usage.Source{Instance: q.Entry.ID, Incarnation: 1_800_000_000_000}
	s.ledger.Merge(usage.Report{Source: source, Windows: q.Usage}, usage.At(sizeStart.Add(boot.Sub(sizeBoot)), sizeWindow))
	s.recorders[i].Acknowledge(usage.Receiver{Addr: "control", Incarnation: 1}, q.Usage)
}

// report sends a report to the leader.
func (s *usageSizes) report() {
	q := reportRequest{Demands: s.demands}
	without := sentSize(s.b, q)
	q.Usage = s.sender.Next("leader")
	s.sender.Acknowledge(usage.Receiver{Addr: "leader", Incarnation: 1})
	s.reports++
	s.reportBytes += sentSize(s.b, q) - without
}

// BenchmarkUsageBytes measures what usage adds to the messages of entry and control
// instances: 6 control instances, 87 workspaces, and 23 requests per second at each
// entry instance.
func BenchmarkUsageBytes(b *testing.B) {
	for _, instances := range []int{22, 44, 88, 176} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			s := newUsageSizes(b, instances)
			for n := 0; b.Loop(); n++ {
				boot := sizeBoot.Add(time.Duration(n) * 200 * time.Millisecond)
				for i := range s.recorders {
					s.serve(i, boot)
					if n%2 == 1 {
						s.heartbeat(i, boot)
					}
				}
				if n%5 == 4 {
					s.report()
				}
			}
			b.ReportMetric(float64(s.heartbeatBytes)/float64(s.heartbeats), "B/heartbeat")
			b.ReportMetric(float64(s.reportBytes)/float64(s.reports), "B/report")
			b.ReportMetric(float64(sentSize(b, HeartbeatRequest{Usage: s.recorders[0].Report("another")})), "B/full-heartbeat")
			b.ReportMetric(float64(sentSize(b, reportRequest{Usage: s.sender.Next("another")})), "B/full-report")
		})
	}
}
