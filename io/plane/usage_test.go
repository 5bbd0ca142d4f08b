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

// BenchmarkUsageBytes measures what usage adds to the messages of entry and control
// instances: 6 control instances, 87 workspaces of which a few are large, and 23
// requests per second at each entry instance.
func BenchmarkUsageBytes(b *testing.B) {
	const (
		workspaces, controls = 87, 6
		window               = 5 * time.Second
		rate                 = 23
	)
	for _, instances := range []int{22, 44, 88, 176} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 1))
			zipf := rand.NewZipf(r, 1.3, 3, workspaces-1)
			start := time.Unix(1_800_000_000, 0)
			boot := time.Unix(5000, 0)
			recorders := make([]usage.Recorder, (instances+controls-1)/controls)
			for i := range recorders {
				recorders[i].Observe(start, boot)
				recorders[i].Configure(window, usage.Sample{Wall: start, Sent: boot, Received: boot})
			}
			var demands []quota.Demand
			for i := range workspaces {
				demands = append(demands, quota.Demand{Workspace: corianderwing.WorkspaceID(fmt.Sprintf("sese%03d", i)), Rate: r.Float64() * 9, Used: r.IntN(9)})
			}
			ledger := usage.NewLedger()
			sender := usage.NewSender(ledger)
			heartbeats, heartbeatBytes, reports, reportBytes := 0, 0, 0, 0
			const step = 200 * time.Millisecond
			for n := 0; b.Loop(); n++ {
				now := boot.Add(time.Duration(n) * step)
				for i := range recorders {
					for range rate {
						if r.IntN(int(time.Second/step)) == 0 {
							recorders[i].Sent(demands[zipf.Uint64()].Workspace, now)
						}
					}
					if n%2 == 1 {
						q := HeartbeatRequest{Entry: corianderwing.Instance{ID: corianderwing.InstanceID(fmt.Sprintf("front-cnx-a-%d", i)), PublicAddr: "10.0.0.1:7000"}, Demands: demands}
						without := sentSize(b, q)
						q.Wall, q.Usage = now.UnixMicro(), recorders[i].Report("control")
						heartbeats++
						heartbeatBytes += sentSize(b, q) - without
						source := usage.Source{Instance: q.Entry.ID, Incarnation: 1_800_000_000_000}
						ledger.Merge(usage.Report{Source: source, Windows: q.Usage}, usage.At(start.Add(now.Sub(boot)), window))
						recorders[i].Acknowledge(usage.Receiver{Addr: "control", Incarnation: 1}, q.Usage)
					}
				}
				if n%5 == 4 {
					q := reportRequest{Demands: demands}
					without := sentSize(b, q)
					q.Usage = sender.Next("leader")
					sender.Acknowledge(usage.Receiver{Addr: "leader", Incarnation: 1})
					reports++
					reportBytes += sentSize(b, q) - without
				}
			}
			full := sentSize(b, HeartbeatRequest{Usage: recorders[0].Report("another")})
			everything := sentSize(b, reportRequest{Usage: sender.Next("another")})
			b.ReportMetric(float64(heartbeatBytes)/float64(heartbeats), "B/heartbeat")
			b.ReportMetric(float64(reportBytes)/float64(reports), "B/report")
			b.ReportMetric(float64(full), "B/full-heartbeat")
			b.ReportMetric(float64(everything), "B/full-report")
		})
	}
}
