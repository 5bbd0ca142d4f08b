package soak

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"corianderwing"
)

const (
	// reportPort is the port of the receiver of usage reports.
	reportPort = 9100
	// usageWindow, usageLate and usageLease are in the settings of the control
	// processes.
	usageWindow = 2 * time.Second
	usageLate   = 6 * time.Second
	usageLease  = 2 * time.Second
	// reportDelay bounds how long the receiver waits before an answer: longer than
	// the call of a process may take.
	reportDelay = 1500 * time.Millisecond
)

// receiver gets the usage reports of the site. Processes connect to it directly, so
// that no report is late for another reason than its sender. While faults work, it
// also refuses reports, answers late, or ends the connection in place of an answer.
type receiver struct {
	ledger *Ledger
	wire   Wire
	server *http.Server

	mu    sync.Mutex
	rng   *rand.Rand
	exact bool // answer all reports at once
}

// startReceiver starts the receiver of the run and returns its address.
func (r *run) startReceiver() (string, error) {
	addr := r.site.bind(200)
	l, err := net.Listen("tcp", net.JoinHostPort(addr, strconv.Itoa(reportPort)))
	if err != nil {
		return "", eris.Wrap(err, "listen for usage reports")
	}
	r.receiver = &receiver{ledger: r.ledger, wire: r.cfg.Wire, rng: r.random("receiver")}
	r.receiver.server = &http.Server{Handler: r.receiver}
	go func() { // until close
		if err := r.receiver.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			r.say("the receiver of usage reports ended: %v", err)
		}
	}()
	return l.Addr().String(), nil
}

func (v *receiver) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	machine, _, _ := net.SplitHostPort(r.RemoteAddr)
	report, err := v.wire.Report(r)
	if err != nil {
		v.ledger.Break(Reported, now, "", "%s sent a report that cannot be read: %v", machine, err)
		return
	}
	v.ledger.Report(report, machine, now)
	switch v.draw() {
	case 0:
		w.WriteHeader(http.StatusTooManyRequests)
	case 1:
		panic(http.ErrAbortHandler)
	case 2:
		time.Sleep(reportDelay)
	}
}

// draw returns what to do with a report; 3 and more stand for an answer at once.
func (v *receiver) draw() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.exact {
		return 3
	}
	return v.rng.IntN(8)
}

// settle makes the receiver answer all reports at once.
func (v *receiver) settle() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.exact = true
}

func (v *receiver) close() { _ = v.server.Shutdown(context.Background()) }

// reports is what the receiver got.
type reports struct {
	counts map[int64]map[corianderwing.WorkspaceID]uint64 // by window
	token  uint64
	last   string // machine of the last report
	sent   map[string]time.Time
	newest int64 // window
}

func newReports() reports {
	return reports{counts: map[int64]map[corianderwing.WorkspaceID]uint64{}, sent: map[string]time.Time{}}
}

// Report notes a usage report that came from a machine.
func (l *Ledger) Report(r corianderwing.UsageReport, machine string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts["reports"]++
	p := &l.reports
	if known, ok := p.counts[r.Window]; ok && !maps.Equal(known, r.Counts) {
		l.breaks(Reported, now, "", "window %d has counts %v and %v", r.Window, known, r.Counts)
	}
	p.counts[r.Window] = r.Counts
	switch at, ok := p.sent[machine]; {
	case r.Token < p.token:
		l.breaks(OneHolder, now, "", "%s sent token %d after token %d", machine, r.Token, p.token)
	case r.Token == p.token && machine != p.last:
		l.breaks(OneHolder, now, "", "%s and %s sent token %d", p.last, machine, r.Token)
	case ok && machine != p.last && now.Sub(at) < usageLease:
		l.breaks(OneHolder, now, "", "%s reports again after %v, and %s between", machine, now.Sub(at), p.last)
	}
	if machine != p.last {
		l.counts["holders"]++
	}
	p.token, p.last, p.sent[machine] = max(p.token, r.Token), machine, now
	p.newest = max(p.newest, r.Window)
}

// checkReports checks that a window was reported that began after the last fault.
func (l *Ledger) checkReports(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if began := time.UnixMilli(l.reports.newest * usageWindow.Milliseconds()); !began.After(l.calm) {
		l.breaks(Reported, now, "", "no window is reported that began after the last fault; the newest began %v after the start", began.Sub(l.start))
	}
}
