package stub

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"corianderwing"
)

// State tells how a run ended.
type State string

// The states of a run.
const (
	Running State = "running"
	Done    State = "done"
	Cut     State = "cut" // cancelled, past its deadline, or its body ended early
)

// Run is one request that the upstream started to run.
type Run struct {
	Request string    `json:"request,omitempty"`
	Order   string    `json:"order,omitempty"` // Idempotency-Key
	Method  string    `json:"method"`
	Path    string    `json:"path"`
	Start   time.Time `json:"start"`
	End     time.Time `json:"end,omitzero"`
	State   State     `json:"state"`
}

// Ran is the answer of /ran: counts since the start, and the runs that the
// query selects.
type Ran struct {
	Upstream corianderwing.UpstreamID `json:"upstream"`
	Pool     corianderwing.PoolID     `json:"pool"`
	Version  corianderwing.VersionID  `json:"version"`
	Slots    corianderwing.Slots      `json:"slots"`
	Peak     int                      `json:"peak"`    // most requests at the same time, waiting ones included
	Started  uint64                   `json:"started"` // runs
	Done     uint64                   `json:"done"`
	Cut      uint64                   `json:"cut"`
	Shed     uint64                   `json:"shed"`    // refused without running
	Refused  uint64                   `json:"refused"` // connections over the limit
	Keys     uint64                   `json:"keys"`    // headers, cookies and parameters that look like a caller's key
	Late     uint64                   `json:"late"`    // requests that arrived after the drain began
	Latest   corianderwing.Millis     `json:"latest"`  // from the start of the drain to the last of them
	Lost     uint64                   `json:"lost"`    // runs that the log no longer holds
	Runs     []Run                    `json:"runs,omitempty"`
}

// runLog keeps the latest runs and counts all of them.
type runLog struct {
	mu    sync.Mutex
	most  int
	first uint64 // number of runs[0]
	runs  []Run
	sum   Ran
}

func newRunLog(most int) *runLog { return &runLog{most: most} }

func (l *runLog) begin(r *http.Request) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.runs) >= 2*l.most {
		l.runs = append([]Run(nil), l.runs[l.most:]...)
		l.first += uint64(l.most)
		l.sum.Lost = l.first
	}
	l.sum.Started++
	l.runs = append(l.runs, Run{
		Request: r.Header.Get("Cw-Request"),
		Order:   r.Header.Get("Idempotency-Key"),
		Method:  r.Method,
		Path:    r.URL.Path,
		Start:   time.Now(),
		State:   Running,
	})
	return l.first + uint64(len(l.runs)) - 1
}

func (l *runLog) end(n uint64, state State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == Done {
		l.sum.Done++
	} else {
		l.sum.Cut++
	}
	if n >= l.first {
		l.runs[n-l.first].State = state
		l.runs[n-l.first].End = time.Now()
	}
}

func (l *runLog) refused() {
	l.mu.Lock()
	l.sum.Shed++
	l.mu.Unlock()
}

func (l *runLog) refusedConn() {
	l.mu.Lock()
	l.sum.Refused++
	l.mu.Unlock()
}

func (l *runLog) sawKeys(n int) {
	l.mu.Lock()
	l.sum.Keys += uint64(n)
	l.mu.Unlock()
}

func (l *runLog) late(after time.Duration) {
	l.mu.Lock()
	l.sum.Late++
	l.sum.Latest = corianderwing.Millis(after.Milliseconds())
	l.mu.Unlock()
}

// choice selects runs of the log.
type choice struct {
	request string
	order   string
	orders  bool // only runs with an Idempotency-Key
	most    int
}

func (c choice) takes(r Run) bool {
	return (c.request == "" || c.request == r.Request) &&
		(c.order == "" || c.order == r.Order) &&
		(!c.orders || r.Order != "")
}

func (l *runLog) read(c choice) Ran {
	l.mu.Lock()
	defer l.mu.Unlock()
	ran := l.sum
	for i := len(l.runs) - 1; i >= 0 && len(ran.Runs) < c.most; i-- {
		if c.takes(l.runs[i]) {
			ran.Runs = append(ran.Runs, l.runs[i])
		}
	}
	return ran
}

// Ran returns the counts and the latest runs, at most most of them, newest
// first.
func (s *Server) Ran(most int) Ran { return s.ran(choice{most: most}) }

func (s *Server) ran(c choice) Ran {
	ran := s.runs.read(c)
	ran.Upstream = s.cfg.ID
	ran.Pool = s.cfg.Pool
	ran.Version = s.cfg.Version
	ran.Slots = s.cfg.Slots
	s.mu.Lock()
	ran.Peak = s.peak
	s.mu.Unlock()
	return ran
}

// serveRan answers GET /ran?request=ID&order=KEY&orders=true&most=N.
func (s *Server) serveRan(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	c := choice{request: q.Get("request"), order: q.Get("order"), orders: q.Get("orders") == "true", most: 100}
	if text := q.Get("most"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			http.Error(w, "most must be a whole number from 0", http.StatusBadRequest)
			return
		}
		c.most = n
	}
	writeJSON(w, http.StatusOK, s.ran(c))
}
