package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"corianderwing"
	"corianderwing/io/relay"
)

// serveSystem serves the system endpoints under /-/.
func (s *Server) serveSystem(w http.ResponseWriter, r *http.Request) {
	method := http.MethodGet
	var f func(http.ResponseWriter, *http.Request)
	switch r.URL.Path {
	case "/-/lookup":
		f = s.lookup
	case "/-/announce":
		f, method = s.announce, http.MethodPost
	case "/-/health":
		f = s.health
	case "/-/status":
		f = s.status
	case "/-/metrics":
		f = s.metrics
	default:
		writeError(w, corianderwing.Errorf(corianderwing.NoRoute, "%s", r.URL.Path))
		return
	}
	if r.Method != method && (method != http.MethodGet || r.Method != http.MethodHead) {
		w.Header().Set("Allow", method)
		writeError(w, corianderwing.Errorf(corianderwing.MethodNotAllowed, "%s", r.Method))
		return
	}
	f(w, r)
}

// LookupResponse is the body of a response from /-/lookup.
type LookupResponse struct {
	Preferred  []Address `json:"use"`   // in order of preference
	Alternates []Address `json:"other"` // in other failure domains, in order of preference
	ExpiresAt  string    `json:"until"` // RFC 3339; not valid from then on
}

// Address describes an entry instance to callers.
type Address struct {
	ID     corianderwing.InstanceID `json:"id"`
	Addr   string                   `json:"addr"`
	Domain corianderwing.DomainID   `json:"domain"`
}

func (s *Server) lookup(w http.ResponseWriter, r *http.Request) {
	ws := r.URL.Query().Get("workspace")
	if ws != "" {
		if _, _, ok := s.cfg.Settings.View(corianderwing.WorkspaceID(ws)); !ok {
			writeError(w, corianderwing.Errorf(corianderwing.NoRoute, "workspace %q", ws))
			return
		}
	}
	resp := s.lookupResponse(ws)
	now := time.Now()
	// Rounded down to whole seconds: a cached response must expire before Close
	// stops serving.
	until := now.Add(s.opt.lookupTTL).Truncate(time.Second)
	resp.ExpiresAt = until.UTC().Format(time.RFC3339)
	maxAge := max(0, int(until.Sub(now).Seconds()))
	w.Header().Set("Cache-Control", fmt.Sprintf("max-age=%d", maxAge))
	writeJSON(w, resp)
}

// lookupResponse lists the instances that accept requests. Instances of the
// local failure domain are preferred. The rest of the order is a hash of
// workspace and instance within the local region and then other regions, so
// that callers of one workspace get the same order and workspaces are spread
// over the instances.
func (s *Server) lookupResponse(workspace string) LookupResponse {
	resp := LookupResponse{Preferred: []Address{}, Alternates: []Address{}}
	rank := make(map[corianderwing.InstanceID]uint64)
	region := make(map[corianderwing.InstanceID]bool)
	for _, i := range s.cfg.Fleet.Instances() {
		if i.Phase != corianderwing.Ready || i.ID == s.self.ID && s.draining.Load() {
			continue
		}
		rank[i.ID] = xxhash.Sum64String(workspace + "/" + string(i.ID))
		region[i.ID] = i.Region == s.self.Region
		entry := Address{ID: i.ID, Addr: i.PublicAddr, Domain: i.Domain}
		if i.Domain == s.self.Domain {
			resp.Preferred = append(resp.Preferred, entry)
		} else {
			resp.Alternates = append(resp.Alternates, entry)
		}
	}
	order := func(x, y Address) int {
		if region[x.ID] != region[y.ID] {
			if region[x.ID] {
				return -1
			}
			return 1
		}
		if rank[x.ID] < rank[y.ID] {
			return -1
		}
		return 1
	}
	slices.SortFunc(resp.Preferred, order)
	slices.SortFunc(resp.Alternates, order)
	return resp
}

func (s *Server) announce(w http.ResponseWriter, r *http.Request) {
	if s.opt.announceToken != "" && r.Header.Get(hToken) != s.opt.announceToken {
		writeError(w, corianderwing.Errorf(corianderwing.InvalidKey, "announcement has an invalid token"))
		return
	}
	raw, err := io.ReadAll(io.LimitReader(r.Body, 4<<10))
	if err != nil {
		writeError(w, relay.BodyError(err, corianderwing.NotExecuted))
		return
	}
	var u corianderwing.Upstream
	if err := decodeStrict(raw, &u); err != nil {
		writeError(w, corianderwing.Errorf(corianderwing.InvalidInput, "announcement: %v", err))
		return
	}
	if u.Domain == "" {
		u.Domain = s.self.Domain
	}
	if e := s.checkUpstream(u); e != nil {
		writeError(w, e)
		return
	}
	if err := s.cfg.Fleet.Announce(u); err != nil {
		writeError(w, asError(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// decodeStrict decodes JSON and rejects unknown fields and trailing data, so
// that a misspelled field is not ignored.
func decodeStrict(raw []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("trailing data after the JSON object")
	}
	return nil
}

func (s *Server) checkUpstream(u corianderwing.Upstream) *corianderwing.Error {
	invalid := func(field string, v any) *corianderwing.Error {
		return corianderwing.Errorf(corianderwing.InvalidInput, "field %s: %v", field, v)
	}
	for field, id := range map[string]string{"id": string(u.ID), "pool": string(u.Pool), "version": string(u.Version)} {
		if !corianderwing.ValidID(id) {
			return invalid(field, id)
		}
	}
	if u.Domain != s.self.Domain {
		return invalid("domain", u.Domain)
	}
	if _, err := netip.ParseAddrPort(u.Addr); err != nil {
		return invalid("addr", err)
	}
	if u.Slots <= 0 || u.Conns < 0 {
		return invalid("slots", u.Slots)
	}
	if u.Phase != corianderwing.Ready && u.Phase != corianderwing.Draining && u.Phase != corianderwing.Left {
		return invalid("phase", u.Phase)
	}
	return nil
}

// Health is the body of a response from /-/health.
type Health struct {
	Phase corianderwing.Phase `json:"phase"`
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, Health{Phase: s.phase()})
}

func (s *Server) phase() corianderwing.Phase {
	if s.draining.Load() {
		return corianderwing.Draining
	}
	return corianderwing.Ready
}

// Status is the body of a response from /-/status.
type Status struct {
	Instance  corianderwing.InstanceID `json:"instance"`
	Domain    corianderwing.DomainID   `json:"domain"`
	Phase     corianderwing.Phase      `json:"phase"`
	Active    int64                    `json:"active"`
	Revisions []corianderwing.Revision `json:"revisions"`
	Loads     []corianderwing.PoolLoad `json:"loads"` // of the pools that this instance owns
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	st := Status{
		Instance: s.self.ID,
		Domain:   s.self.Domain,
		Phase:    s.phase(),
		Active:   s.active.Load() - 1, // excluding this request
	}
	for _, v := range s.cfg.Settings.Views() {
		st.Revisions = append(st.Revisions, v.Revision())
	}
	for id, p := range *s.pools.Load() {
		if s.cfg.Fleet.Owns(id) {
			st.Loads = append(st.Loads, p.load(time.Now()))
		}
	}
	slices.SortFunc(st.Loads, func(a, b corianderwing.PoolLoad) int {
		return strings.Compare(string(a.Pool), string(b.Pool))
	})
	writeJSON(w, st)
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WriteOnce(s.meter.registry, w)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler) // an incomplete body must not appear complete
	}
}
