// Package load generates load in an open loop: requests are sent at planned
// times, whether or not earlier ones were answered, and response times count
// from the planned time. A run is bounded in count and time, and its plan
// depends on the scenario's seed alone.
package load

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"github.com/goccy/go-yaml"

	"corianderwing"
	"corianderwing/io/conf"
)

// The bounds of a run. A planned request takes 48 bytes and its outcome 64.
const (
	maxSeconds  = 3600
	maxRequests = 5_000_000
	maxFlight   = 20_000
)

// Scenario describes a run.
type Scenario struct {
	Name     string  `yaml:"name"`
	Settings string  `yaml:"settings"` // settings file of the deployment, relative to the scenario
	Seed     uint64  `yaml:"seed"`     // default 1
	Warm     float64 `yaml:"warm"`     // seconds that are not counted, before the measured ones
	Time     float64 `yaml:"time"`     // measured seconds
	Most     int     `yaml:"most"`     // most requests; default 1,000,000
	Flight   int     `yaml:"flight"`   // most requests at the same time; default 2000
	Timeout  int     `yaml:"timeout"`  // of a request, ms; default 5000
	Mix      []Kind  `yaml:"mix"`      // for workspaces without their own
	Loads    []Load  `yaml:"workspaces"`
}

// Load is the load of one workspace.
type Load struct {
	Name    corianderwing.WorkspaceID          `yaml:"name"`
	Rate    float64                            `yaml:"rate"`    // requests per second
	Times   float64                            `yaml:"times"`   // in place of rate: multiple of the agreed rate
	Burst   Burst                              `yaml:"burst"`   // in addition
	Regions map[corianderwing.RegionID]float64 `yaml:"regions"` // weights of the callers' regions; default: equal
	Mix     []Kind                             `yaml:"mix"`
}

// Burst is a number of requests that are sent at once, again and again.
type Burst struct {
	Every float64 `yaml:"every"` // seconds
	Count int     `yaml:"count"` // requests
}

// Kind is one kind of request.
type Kind struct {
	Name    string                  `yaml:"name"`
	Service corianderwing.ServiceID `yaml:"service"`
	Path    string                  `yaml:"path"`   // below the service
	Method  string                  `yaml:"method"` // default GET
	Weight  float64                 `yaml:"weight"` // share of the workspace's requests; default 1
	Body    int                     `yaml:"body"`   // bytes
	Order   bool                    `yaml:"order"`  // sent with an Idempotency-Key
	Resend  float64                 `yaml:"resend"` // fraction of orders that is sent again through another instance
}

// Read reads a scenario and the settings file that it names.
func Read(path string) (*Scenario, *conf.Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("read scenario: %w", err)
	}
	s := &Scenario{}
	if err := yaml.UnmarshalWithOptions(data, s, yaml.Strict()); err != nil {
		return nil, nil, fmt.Errorf("scenario %s: %w", path, err)
	}
	if s.Settings == "" {
		return nil, nil, fmt.Errorf("scenario %s: settings: field is missing", path)
	}
	if !filepath.IsAbs(s.Settings) {
		s.Settings = filepath.Join(filepath.Dir(path), s.Settings)
	}
	cfg, err := conf.Load(s.Settings)
	if err != nil {
		return nil, nil, err
	}
	if s.Name == "" {
		s.Name = strings.TrimSuffix(filepath.Base(path), filepath.Ext(path))
	}
	if err := s.Check(cfg); err != nil {
		return nil, nil, fmt.Errorf("scenario %s:\n%w", path, err)
	}
	return s, cfg, nil
}

// Check fills in the defaults and checks the scenario against the settings.
// The error joins every fault.
func (s *Scenario) Check(cfg *conf.Config) error {
	s.defaults()
	var c checker
	c.within("time", s.Time, 0.001, maxSeconds)
	c.within("warm", s.Warm, 0, maxSeconds)
	c.within("most", float64(s.Most), 1, maxRequests)
	c.within("flight", float64(s.Flight), 1, maxFlight)
	c.within("timeout", float64(s.Timeout), 1, 600_000)
	if len(s.Loads) == 0 {
		c.fail("workspaces", "is empty, allowed: at least one")
	}
	seen := map[corianderwing.WorkspaceID]bool{}
	for i := range s.Loads {
		l := &s.Loads[i]
		at := fmt.Sprintf("workspaces[%d]", i)
		if seen[l.Name] {
			c.fail(at+".name", "%q occurs twice", l.Name)
		}
		seen[l.Name] = true
		if len(l.Mix) == 0 {
			l.Mix = s.Mix
		}
		c.load(cfg, at, l)
	}
	return errors.Join(c.errs...)
}

func (s *Scenario) defaults() {
	if s.Seed == 0 {
		s.Seed = 1
	}
	if s.Most == 0 {
		s.Most = 1_000_000
	}
	if s.Flight == 0 {
		s.Flight = 2000
	}
	if s.Timeout == 0 {
		s.Timeout = 5000
	}
}

// checker collects the faults of a scenario.
type checker struct{ errs []error }

func (c *checker) fail(field, format string, args ...any) {
	c.errs = append(c.errs, fmt.Errorf("%s: %s", field, fmt.Sprintf(format, args...)))
}

func (c *checker) within(field string, v, lo, hi float64) {
	if math.IsNaN(v) || v < lo || v > hi {
		c.fail(field, "is %v, allowed: %v to %v", v, lo, hi)
	}
}

func (c *checker) load(cfg *conf.Config, at string, l *Load) {
	rate, _, ok := agreed(cfg, l.Name)
	if !ok {
		c.fail(at+".name", "no workspace %q in the seed tree of the settings", l.Name)
	}
	if l.Times > 0 && l.Rate > 0 {
		c.fail(at+".times", "rate is given too, allowed: one of them")
	}
	if l.Times > 0 {
		l.Rate = l.Times * rate
	}
	c.within(at+".rate", l.Rate, 0, 1_000_000)
	if l.Burst.Count > 0 {
		c.within(at+".burst.every", l.Burst.Every, 0.01, maxSeconds)
	}
	c.within(at+".burst.count", float64(l.Burst.Count), 0, 100_000)
	var sum float64
	for r, weight := range l.Regions {
		sum += weight
		if len(entries(cfg, r)) == 0 {
			c.fail(at+".regions", "region %q has no entry instances", r)
		}
		c.within(fmt.Sprintf("%s.regions.%s", at, r), weight, 0, 1_000_000)
	}
	if len(l.Regions) > 0 && sum == 0 {
		c.fail(at+".regions", "every weight is 0, allowed: at least one above 0")
	}
	if len(l.Mix) == 0 {
		c.fail(at+".mix", "is empty, allowed: at least one kind, here or for all workspaces")
	}
	for i := range l.Mix {
		c.kind(fmt.Sprintf("%s.mix[%d]", at, i), &l.Mix[i])
	}
}

func (c *checker) kind(at string, k *Kind) {
	if k.Method == "" {
		k.Method = http.MethodGet
	}
	if k.Weight == 0 {
		k.Weight = 1
	}
	if k.Name == "" {
		k.Name = string(k.Service) + k.Path
	}
	if k.Service == "" {
		c.fail(at+".service", "is empty")
	}
	if !strings.HasPrefix(k.Path, "/") || strings.Contains(k.Path, "?") {
		c.fail(at+".path", "is %q, allowed: a path that starts with / and has no query", k.Path)
	}
	if k.Resend > 0 && !k.Order {
		c.fail(at+".resend", "allowed for orders only")
	}
	c.within(at+".weight", k.Weight, 0, 1_000_000)
	c.within(at+".resend", k.Resend, 0, 1)
	c.within(at+".body", float64(k.Body), 0, 16<<20)
}

// agreed returns the rate and burst of a workspace of the seed tree.
func agreed(cfg *conf.Config, w corianderwing.WorkspaceID) (rate, burst float64, ok bool) {
	for _, ws := range cfg.Tree {
		if ws.Name != w {
			continue
		}
		rate, burst = float64(corianderwing.Defaults.Rate), float64(corianderwing.Defaults.Burst)
		if ws.Settings.Rate != nil {
			rate = float64(*ws.Settings.Rate)
		}
		if ws.Settings.Burst != nil {
			burst = float64(*ws.Settings.Burst)
		}
		return rate, burst, true
	}
	return 0, 0, false
}

// entries returns the public addresses of a region's entry instances.
func entries(cfg *conf.Config, r corianderwing.RegionID) []string {
	var all []string
	for _, p := range cfg.Processes {
		if p.Entry != nil && cfg.Region(p.Domain) == r {
			all = append(all, p.Entry.PublicAddr)
		}
	}
	return all
}
