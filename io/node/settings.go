// Package node assembles the process of one instance from its settings and from
// the adapter that implements the protocols of callers, upstreams and operators.
package node

import (
	"bytes"
	"fmt"
	"math"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/goccy/go-yaml"

	"corianderwing"
	"corianderwing/core/budget"
)

// Settings are the settings of one instance. Durations are written with a unit.
type Settings struct {
	Name              string                 `yaml:"name"`
	Role              string                 `yaml:"role"` // entry or control
	IP                string                 `yaml:"ip"`
	Bind              string                 `yaml:"bind"` // IP to listen on and to connect from, if different from IP
	Domain            corianderwing.DomainID `yaml:"domain"`
	Region            corianderwing.RegionID `yaml:"region"`
	Ports             []int                  `yaml:"ports"` // first and last port for peer traffic
	Seeds             []string               `yaml:"seeds"` // addresses of control instances; the ports are ignored
	Bootstrap         bool                   `yaml:"found"` // the control plane starts for the first time
	DataDir           string                 `yaml:"data"`
	HeartbeatInterval Duration               `yaml:"beat"` // interval of upstream heartbeats
	LogLevel          string                 `yaml:"log"`  // level: debug, info, warn or error
	Secret            string                 `yaml:"secret"`

	Domains       map[corianderwing.DomainID]corianderwing.RegionID `yaml:"domains"`
	Listen        Listen                                            `yaml:"listen"`
	MaxLosses     int                                               `yaml:"losses"` // number of control instances that may fail at once
	MemoryLimitMB int                                               `yaml:"memory"` // in MB; 0 for no limit
	MaxFiles      int                                               `yaml:"files"`  // descriptors of the process; 0 for the limit of the system
	Bounds        Bounds                                            `yaml:"bounds"`
	Usage         Usage                                             `yaml:"usage"`
}

// Usage holds the settings for reports of the requests that upstreams ran for each
// workspace. Nothing is counted or reported without a receiver.
type Usage struct {
	Receiver  string   `yaml:"to"`     // address of the receiver
	Window    Duration `yaml:"window"` // length of the windows of wall-clock time that are reported
	Late      Duration `yaml:"late"`   // time after the end of a window when its report is late
	Lease     Duration `yaml:"lease"`  // lease of the duty to report
	PerSecond float64  `yaml:"rate"`   // calls that the receiver accepts each second; 0 for no limit
}

// Enabled reports whether usage is counted and reported.
func (u *Usage) Enabled() bool { return u.Receiver != "" && u.Window > 0 }

// window returns the length of the windows in which usage is counted, or 0.
func (u *Usage) window() time.Duration {
	if !u.Enabled() {
		return 0
	}
	return time.Duration(u.Window)
}

// Listen holds the listen addresses of an instance.
type Listen struct {
	Public  string `yaml:"public"`  // callers
	Ready   string `yaml:"ready"`   // readiness checks
	Admin   string `yaml:"admin"`   // upstreams and operators
	Lookup  string `yaml:"lookup"`  // callers that look up entry instances
	Metrics string `yaml:"metrics"` // optional
}

// Bounds are the guarantees of the system that can be configured.
type Bounds struct {
	LookupTTL         Duration `yaml:"lookup"` // maximum time for which callers may cache a lookup
	MaxApplyDelay     Duration `yaml:"apply"`  // maximum time until an accepted change is in force
	MaxRevokeDelay    Duration `yaml:"revoke"` // maximum time until no instance accepts a revoked key
	GracePeriod       Duration `yaml:"grace"`  // time from the stop signal to the end of the process
	RateWindow        Duration `yaml:"window"` // window for the rate limit of a workspace
	ToleranceFraction float64  `yaml:"over"`   // fraction by which a workspace may exceed its rate and burst in a window
	ToleranceRequests float64  `yaml:"slack"`  // additional requests by which it may exceed them
	RetryRatio        float64  `yaml:"retry"`  // fraction of a pool's requests that may be retried
}

// Duration is a time.Duration that is written in settings such as 1500ms or 2.5s.
type Duration time.Duration

// UnmarshalYAML implements yaml.BytesUnmarshaler.
func (s *Duration) UnmarshalYAML(b []byte) error {
	text := strings.Trim(strings.TrimSpace(string(b)), `"'`)
	if text == "" || text == "null" {
		return nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return fmt.Errorf("%q is not a duration such as 1500ms or 2.5s", text)
	}
	*s = Duration(d)
	return nil
}

// After returns now plus s.
func (s Duration) After(now time.Time) time.Time { return now.Add(time.Duration(s)) }

// Load reads and validates a settings file. The error names every invalid field.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, corianderwing.Errorf(corianderwing.InvalidInput, "read settings: %v", err)
	}
	return Parse(data)
}

// Parse parses and validates settings. It ignores unknown fields, because a newer
// platform may send them.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{}
	if err := decode(data, s); err != nil {
		return nil, corianderwing.Errorf(corianderwing.InvalidInput, "settings: %v", err)
	}
	s.applyDefaults()
	if problems := s.validate(); len(problems) > 0 {
		return nil, corianderwing.Errorf(corianderwing.InvalidInput, "settings: %s", strings.Join(problems, "; "))
	}
	return s, nil
}

// decode decodes YAML. The library panics at some malformed files, and a running
// instance reads its settings again at any moment.
func decode(data []byte, s *Settings) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("malformed YAML: %v", v)
		}
	}()
	return yaml.NewDecoder(bytes.NewReader(data)).Decode(s)
}

// Defaults for settings that a platform may omit.
const (
	defaultHeartbeatInterval = Duration(1500 * time.Millisecond)
	defaultLookupTTL         = Duration(5 * time.Second)
	defaultMaxApplyDelay     = Duration(2 * time.Second)
	defaultMaxRevokeDelay    = Duration(5 * time.Second)
	defaultGracePeriod       = Duration(6 * time.Second)
	defaultRateWindow        = Duration(time.Second)
	defaultRetryRatio        = 0.2
	defaultUsageLate         = Duration(10 * time.Second)
	defaultUsageLease        = Duration(3 * time.Second)
)

// minUsageLease is the shortest lease in which a report can be sent.
const minUsageLease = Duration(time.Second)

func (s *Settings) applyDefaults() {
	for _, f := range []struct {
		field *Duration
		def   Duration
	}{
		{&s.HeartbeatInterval, defaultHeartbeatInterval},
		{&s.Bounds.LookupTTL, defaultLookupTTL},
		{&s.Bounds.MaxApplyDelay, defaultMaxApplyDelay},
		{&s.Bounds.MaxRevokeDelay, defaultMaxRevokeDelay},
		{&s.Bounds.GracePeriod, defaultGracePeriod},
		{&s.Bounds.RateWindow, defaultRateWindow},
		{&s.Usage.Late, defaultUsageLate},
		{&s.Usage.Lease, defaultUsageLease},
	} {
		if *f.field <= 0 {
			*f.field = f.def
		}
	}
	if s.Bounds.RetryRatio <= 0 {
		s.Bounds.RetryRatio = defaultRetryRatio
	}
	if s.LogLevel == "" {
		s.LogLevel = "info"
	}
	if s.Secret == "" {
		s.Secret = "corianderwing"
	}
}

// Roles of an instance.
const (
	Entry   = "entry"
	Control = "control"
)

func (s *Settings) validate() (problems []string) {
	addf := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	if s.Role != Entry && s.Role != Control {
		addf("role is %q, allowed: %s, %s", s.Role, Entry, Control)
	}
	if net.ParseIP(s.IP) == nil {
		addf("ip is %q, allowed: an IP address", s.IP)
	}
	if s.Bind != "" && net.ParseIP(s.Bind) == nil {
		addf("bind is %q, allowed: an IP address, or empty", s.Bind)
	}
	if s.Domain == "" {
		addf("domain is empty")
	}
	if len(s.Ports) != 2 || s.Ports[0] <= 0 || s.Ports[1] < s.Ports[0] {
		addf("ports is %v, allowed: the first and the last port", s.Ports)
	}
	if len(s.Seeds) == 0 {
		addf("seeds is empty")
	}
	for _, a := range s.Seeds {
		if _, _, err := net.SplitHostPort(a); err != nil {
			addf("seeds: %q is not an address with a port", a)
		}
	}
	if s.MemoryLimitMB < 0 || s.MemoryLimitMB > 0 && s.MemoryLimitMB < minMemoryMB {
		addf("memory is %d MB, allowed: %d or more, or 0 for no limit", s.MemoryLimitMB, minMemoryMB)
	}
	if s.MaxFiles < 0 || s.MaxFiles > 0 && s.MaxFiles < minFiles {
		addf("files is %d, allowed: %d or more, or 0 for the limit of the system", s.MaxFiles, minFiles)
	}
	if s.Usage.Lease < minUsageLease {
		addf("usage.lease is %v, allowed: at least %v", time.Duration(s.Usage.Lease), time.Duration(minUsageLease))
	}
	if s.Usage.PerSecond < 0 {
		addf("usage.rate is %v, allowed: 0 or more", s.Usage.PerSecond)
	}
	if s.Role == Control && s.DataDir == "" {
		addf("data is empty")
	}
	if s.Role == Entry && s.Listen.Public == "" {
		addf("listen.public is empty")
	}
	return problems
}

// The smallest limits with which an instance works.
const (
	minMemoryMB = int(budget.MinMemory >> 20)
	minFiles    = 64
)

// memory returns the memory of the machine; 0 if it is not limited.
func (s *Settings) memory() corianderwing.Bytes {
	return corianderwing.Bytes(s.MemoryLimitMB) << 20
}

// maxFiles returns the number of descriptors that the process can have; 0 if unknown.
func (s *Settings) maxFiles() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return s.MaxFiles
	}
	if s.MaxFiles > 0 {
		return min(s.MaxFiles, int(limit.Cur))
	}
	return int(limit.Cur)
}

// classes returns the classes of work with a reserve.
func (s *Settings) classes() []budget.Class {
	if s.Role == Control {
		return []budget.Class{budget.Control, budget.Lookups, budget.Status}
	}
	return []budget.Class{budget.Status}
}

// peerAddr returns the address of this instance's peer server. Control instances
// always use the first port, so that the peer addresses of seeds are known.
func (s *Settings) peerAddr() string {
	port := s.Ports[0]
	if s.Role == Entry && s.Ports[1] > port {
		port++
	}
	return net.JoinHostPort(s.IP, strconv.Itoa(port))
}

// listenAddr returns the local address to listen on for an advertised address.
func (s *Settings) listenAddr(addr string) string {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || s.Bind == "" || host != s.IP {
		return addr
	}
	return net.JoinHostPort(s.Bind, port)
}

// sourceIP returns the source IP of outgoing connections, or nil to let the
// operating system choose it.
func (s *Settings) sourceIP() net.IP { return net.ParseIP(s.Bind) }

// seedPeerAddrs returns the peer addresses of the seeds, sorted and without
// duplicates.
func (s *Settings) seedPeerAddrs() []string {
	var list []string
	for _, a := range s.Seeds {
		host, _, err := net.SplitHostPort(a)
		if err == nil {
			list = append(list, net.JoinHostPort(host, strconv.Itoa(s.Ports[0])))
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

func (s *Settings) regionOf(d corianderwing.DomainID) corianderwing.RegionID { return s.Domains[d] }

// hasSingleRegion reports whether all failure domains of the site are in one region.
func (s *Settings) hasSingleRegion() bool {
	for _, r := range s.Domains {
		if r != s.Region {
			return false
		}
	}
	return true
}
