package stub

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Fault is a fault that the upstream was told to show, on the requests whose
// path starts with Prefix and whose route is Route. Fractions are from 0 to 1.
type Fault struct {
	Prefix string   `json:"prefix,omitempty"` // of the path below the service, as upstreams see it; default: all
	Route  string   `json:"route,omitempty"`  // route id, in any workspace; default: all
	Fail   float64  `json:"fail,omitempty"`   // fraction that runs and is answered with Status
	Status int      `json:"status,omitempty"` // default 500
	Slow   float64  `json:"slow,omitempty"`   // factor on the service time
	Silent bool     `json:"silent,omitempty"` // no answer
	Old    bool     `json:"old,omitempty"`    // no answer on connections older than the fault
	Cross  float64  `json:"cross,omitempty"`  // fraction that is answered with the id of another request
	Short  float64  `json:"short,omitempty"`  // fraction whose body ends early
	Shed   float64  `json:"shed,omitempty"`   // fraction refused without running it
	Load   *float64 `json:"load,omitempty"`   // load that /load and announcements claim
	Health string   `json:"health,omitempty"` // what /health claims

	since time.Time
}

// chance is what was drawn for one request.
type chance struct {
	fail   int // status, 0 for none
	slow   float64
	silent bool
	cross  bool
	short  bool
	shed   bool
	draw   float64 // of the service time
}

// SetFault adds a fault, or replaces the one with the same prefix and route.
func (s *Server) SetFault(f Fault) {
	f.since = time.Now()
	if f.Status == 0 {
		f.Status = http.StatusInternalServerError
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = slices.DeleteFunc(s.faults, func(old Fault) bool { return old.Prefix == f.Prefix && old.Route == f.Route })
	s.faults = append(s.faults, f)
}

// ClearFaults ends every fault.
func (s *Server) ClearFaults() {
	s.mu.Lock()
	s.faults = nil
	s.mu.Unlock()
}

func (s *Server) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, "fault: "+err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(f)
	writeJSON(w, http.StatusOK, f)
}

func (s *Server) clearFaults(w http.ResponseWriter, _ *http.Request) {
	s.ClearFaults()
	w.WriteHeader(http.StatusNoContent)
}

// chance draws the service time and the faults of one request.
func (s *Server) chance(r *http.Request) chance {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := chance{slow: 1, draw: s.rand.ExpFloat64()}
	for _, f := range s.faults {
		if !strings.HasPrefix(r.URL.Path, f.Prefix) || f.Route != "" && f.Route != r.Header.Get("Cw-Route") {
			continue
		}
		if s.rand.Float64() < f.Fail {
			c.fail = f.Status
		}
		if f.Slow > 0 {
			c.slow *= f.Slow
		}
		c.silent = c.silent || f.Silent || f.Old && opened(r).Before(f.since)
		c.cross = c.cross || s.rand.Float64() < f.Cross
		c.short = c.short || s.rand.Float64() < f.Short
		c.shed = c.shed || s.rand.Float64() < f.Shed
	}
	return c
}
