package usage

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
)

// Guards against a window that is off by one, also before 1970.
func TestWindowAt(t *testing.T) {
	is := is.New(t)
	const length = 5 * time.Second
	is.Equal(At(time.Unix(353445120*5, 0), length), Window(353445120))
	is.Equal(At(time.Unix(353445120*5, -1), length), Window(353445119))
	is.Equal(At(time.Unix(0, -1), length), Window(-1))
	is.Equal(Window(2).End(length), time.Unix(15, 0))
}

// Guards against counts that are taken from a window in the future or a forgotten
// one, and against windows that stay forever.
func TestLedgerKeepsFewWindows(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	var report Report
	for w := range Window(100) {
		report.Windows = append(report.Windows, WindowCounts{w, []Count{{Workspace: "a", Sent: 1}}})
	}
	is.Equal(l.Merge(report, 50), 100-maxWindows-1)
	is.Equal(l.Windows()[0], Window(50-maxWindows+1))
	is.Equal(l.Windows()[maxWindows], Window(51))
	l.Merge(Report{}, 60)
	is.Equal(l.Windows(), []Window{49, 50, 51})
	l.Merge(Report{}, 3) // the clock was an hour ahead
	is.Equal(len(l.Windows()), 0)
}

// Guards against a sum that overflows and becomes small.
func TestTotalsSaturate(t *testing.T) {
	is := is.New(t)
	l := NewLedger()
	for _, name := range []corianderwing.InstanceID{"x", "y"} {
		counts := []Count{{Workspace: "a", Sent: math.MaxUint64 - 1}, {Workspace: "b", Sent: 1, Refused: 5}}
		l.Merge(Report{Source{name, 1}, []WindowCounts{{7, counts}}}, 7)
	}
	is.Equal(l.Totals(7), map[corianderwing.WorkspaceID]uint64{"a": math.MaxUint64})
}

// Guards against a control instance that receives only the latest changes after a
// failover or its own restart.
func TestReportInFullToNewReceiver(t *testing.T) {
	is := is.New(t)
	var tally Tally
	tally.Sent(1, "a")
	tally.Sent(1, "b")
	first := tally.Report("x")
	is.Equal(first, []WindowCounts{{1, []Count{{Workspace: "a", Sent: 1}, {Workspace: "b", Sent: 1}}}})
	tally.Acknowledge(Receiver{"x", 1}, first)
	is.Equal(len(tally.Report("x")), 0)
	tally.Sent(2, "a")
	second := tally.Report("x")
	is.Equal(second, []WindowCounts{{2, []Count{{Workspace: "a", Sent: 1}}}})
	tally.Acknowledge(Receiver{"x", 2}, second) // restarted: it has lost the first report
	is.Equal(tally.Report("x"), first)
	is.Equal(len(tally.Report("y")), 2)
	tally.Acknowledge(Receiver{"x", 2}, first) // arrives after the switch to y
	is.Equal(len(tally.Report("y")), 2)
}

// Guards against a lost acknowledgement of a late refusal, and against a wrong clock
// that fills the memory or stops the counting.
func TestTallyKeepsFewWindows(t *testing.T) {
	is := is.New(t)
	var tally Tally
	tally.Sent(1e6, "a") // the clock is far ahead
	for w := range Window(100) {
		tally.Sent(w, "a")
		tally.Sent(w, "b")
		tally.Refused(w, "b")
		tally.Refused(w-maxWindows, "a")
	}
	report := tally.Report("x")
	is.Equal(len(report), maxWindows)
	is.Equal(report[maxWindows-1], WindowCounts{99, []Count{{Workspace: "a", Sent: 1}, {Workspace: "b", Sent: 1, Refused: 1}}})
	is.Equal(report[0].Window, Window(100-maxWindows))
}

// Guards against memory that is allocated for each counted request.
func TestSentDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	var tally Tally
	tally.Sent(1, "a")
	is.Equal(testing.AllocsPerRun(100, func() {
		tally.Sent(1, "a")
		tally.Refused(1, "a")
	}), 0.0)
}

// Guards against counts of a window that begin again at zero after the estimated time
// went back by some windows for a moment: the ledger keeps the larger count, not the sum.
func TestTimeGoesBackAndForth(t *testing.T) {
	is := is.New(t)
	var tally Tally
	for _, w := range []Window{100, 98, 100} {
		tally.Sent(w, "a")
	}
	is.Equal(tally.Report("x"), []WindowCounts{{98, []Count{{"a", 1, 0}}}, {100, []Count{{"a", 2, 0}}}})
}
