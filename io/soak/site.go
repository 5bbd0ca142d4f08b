package soak

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"corianderwing"
)

// Ports of the processes.
const (
	peerPort   = 7000
	entryPeer  = 7001
	publicPort = 8000
	adminPort  = 8001
	lookupPort = 8002
	workPort   = 9000
)

// Bounds of the site, as its settings state them.
const (
	applyBound  = 2500 * time.Millisecond
	revokeBound = 5 * time.Second
	graceBound  = 6 * time.Second
	windowBound = 5 * time.Second
	beatEvery   = 500 * time.Millisecond
	overBound   = 0.1
	slackBound  = 20.0
	losses      = 1
)

// foundedFile marks a process that was started before: only the first start of
// all founds the site.
const foundedFile = "founded"

// Proc is a process of the site.
type Proc struct {
	Name   string
	Role   string
	Domain corianderwing.DomainID
	Region corianderwing.RegionID
	Face   string // IP under which others know it
	Bind   string // its own IP

	claim
	site   *Site
	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	ending bool // it was told to stop, or killed
	killed bool
	since  time.Time // when it was told to end in a planned way; zero if it was not
}

// Site is the processes, their addresses and the Proxy between them.
type Site struct {
	Program string
	Dir     string
	Proxy   *Proxy
	Procs   []*Proc
	// Receiver is the address to which usage is reported.
	Receiver string
	octet    int
	domains  map[corianderwing.DomainID]corianderwing.RegionID
	// Ended is called when a process ends otherwise than it was told to: by itself, or
	// with an error after a planned stop.
	Ended func(p *Proc, err error)
}

// Domains of the site: two regions with two failure domains each, and one more
// for a third control instance.
var siteDomains = []struct {
	domain corianderwing.DomainID
	region corianderwing.RegionID
}{{"north-a", "north"}, {"north-b", "north"}, {"south-a", "south"}, {"south-b", "south"}, {"east-a", "east"}}

// NewSite lays out a site with controls and entries processes; none runs yet. The
// second octet of its loopback IPs is the first one at which it can listen, so that
// several sites can run on one machine.
func NewSite(program, dir string, controls, entries int) (*Site, error) {
	var inUse error
	for octet := 64; octet < 192; octet += 2 {
		s, err := newSiteAt(octet, program, dir, controls, entries)
		if err == nil {
			return s, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
		inUse = err
	}
	return nil, corianderwing.Errorf(corianderwing.InvalidInput, "no free IPs in 127.64.0.0/10: %v; %s", inUse, inUseBy(inUse))
}

// inUseBy describes who holds the address at which a listen failed.
func inUseBy(err error) string {
	var e *net.OpError
	if !errors.As(err, &e) || e.Addr == nil {
		return "unknown address"
	}
	return addressHolders(e.Addr.String())
}

// newSiteAt lays out a site and makes its Proxy listen. No address is tested
// beforehand: a process that is being started has a copy of each open socket, and
// keeps the address of one that was closed in use until its program runs.
func newSiteAt(octet int, program, dir string, controls, entries int) (*Site, error) {
	s := &Site{Program: program, Dir: dir, Proxy: NewProxy(), octet: octet, domains: map[corianderwing.DomainID]corianderwing.RegionID{}}
	for _, d := range siteDomains {
		s.domains[d.domain] = d.region
	}
	for i := range controls {
		// Every second domain first, so that three lie in three regions.
		s.add(fmt.Sprintf("control-%d", i+1), "control", i*2%len(siteDomains), i+1)
	}
	for i := range entries {
		s.add(fmt.Sprintf("entry-%d", i+1), "entry", i%4, 51+i)
	}
	for _, p := range s.Procs {
		if err := s.open(p); err != nil {
			s.Proxy.Close()
			return nil, err
		}
	}
	return s, nil
}

func (s *Site) face(n int) string { return fmt.Sprintf("127.%d.%d.1", s.octet, n) }
func (s *Site) bind(n int) string { return fmt.Sprintf("127.%d.%d.1", s.octet+1, n) }

func (s *Site) add(name, role string, domain, n int) {
	d := siteDomains[domain]
	s.Procs = append(s.Procs, &Proc{
		Name: name, Role: role, Domain: d.domain, Region: d.region, Face: s.face(n), Bind: s.bind(n), site: s,
	})
}

// open makes the Proxy listen for a process.
func (s *Site) open(p *Proc) error {
	s.Proxy.Name(p.Bind, p.Name)
	ports := []int{peerPort, adminPort, lookupPort}
	if p.Role == "entry" {
		ports = []int{entryPeer, publicPort}
	}
	for _, port := range ports {
		if err := s.Proxy.Open(fmt.Sprintf("%s:%d", p.Face, port), fmt.Sprintf("%s:%d", p.Bind, port), p.Name); err != nil {
			return err
		}
	}
	return nil
}

// Controls returns the control processes.
func (s *Site) Controls() []*Proc { return s.role("control") }

// Entries returns the entry processes.
func (s *Site) Entries() []*Proc { return s.role("entry") }

func (s *Site) role(role string) (list []*Proc) {
	for _, p := range s.Procs {
		if p.Role == role {
			list = append(list, p)
		}
	}
	return list
}

// Public returns the address for callers.
func (p *Proc) Public() string { return p.addr(publicPort) }

// Admin returns the address for upstreams and operators.
func (p *Proc) Admin() string { return p.addr(adminPort) }

// Lookup returns the address for callers that ask where to go.
func (p *Proc) Lookup() string { return p.addr(lookupPort) }

func (p *Proc) addr(port int) string { return fmt.Sprintf("%s:%d", p.Face, port) }

// settings returns the settings file of a process.
func (s *Site) settings(p *Proc) string {
	var seeds, domains []string
	for _, c := range s.Controls()[:min(3, len(s.Controls()))] {
		seeds = append(seeds, c.Admin())
	}
	for d, r := range s.domains {
		domains = append(domains, fmt.Sprintf("%s: %s", d, r))
	}
	listen := fmt.Sprintf("{admin: '%s', lookup: '%s'}", p.Admin(), p.Lookup())
	if p.Role == "entry" {
		listen = fmt.Sprintf("{public: '%s'}", p.Public())
	}
	_, err := os.Stat(filepath.Join(s.Dir, p.Name, foundedFile))
	return fmt.Sprintf(`name: %s
role: %s
ip: %s
bind: %s
domain: %s
region: %s
ports: [%d, %d]
seeds: ['%s']
found: %t
beat: %s
domains: {%s}
losses: %d
memory: %d
data: %s
log: info
listen: %s
bounds: {apply: %s, revoke: %s, grace: %s, window: %s, over: %g, slack: %g, lookup: 2s}
`, p.Name, p.Role, p.Face, p.Bind, p.Domain, p.Region, peerPort, entryPeer, strings.Join(seeds, "', '"),
		err != nil, beatEvery, strings.Join(domains, ", "), losses, memoryBound, filepath.Join(s.Dir, p.Name, "data"), listen,
		applyBound, revokeBound, graceBound, windowBound, overBound, slackBound) + s.usageSettings(p)
}

// usageSettings returns the settings of usage reports.
func (s *Site) usageSettings(p *Proc) string {
	if p.Role == "entry" || s.Receiver == "" {
		return ""
	}
	return fmt.Sprintf("usage: {to: '%s', window: %s, late: %s, lease: %s}\n", s.Receiver, usageWindow, usageLate, usageLease)
}

// Start starts the process. Its output goes to a file in the site's directory.
func (p *Proc) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	dir := filepath.Join(p.site.Dir, p.Name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return eris.Wrap(err, "create a directory")
	}
	file := filepath.Join(dir, "settings.yaml")
	if err := os.WriteFile(file, []byte(p.site.settings(p)), 0o644); err != nil {
		return eris.Wrap(err, "write settings")
	}
	out, err := os.OpenFile(filepath.Join(p.site.Dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrap(err, "open the log")
	}
	defer out.Close()
	cmd := exec.Command(p.site.Program, "node", "--settings", file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "start %s", p.Name)
	}
	if err := os.WriteFile(filepath.Join(dir, foundedFile), nil, 0o644); err != nil {
		return eris.Wrap(err, "mark the site as founded")
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.ending, p.killed, p.since = cmd, exited, false, false, time.Time{}
	go p.wait(cmd, exited)
	return nil
}

func (p *Proc) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	asTold := p.killed || p.ending && err == nil
	p.mu.Unlock()
	if !asTold && p.site.Ended != nil {
		p.site.Ended(p, err)
	}
	close(exited)
}

// Signal sends a signal to the process; one that ends it is expected to.
func (p *Proc) Signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return errors.New("not started")
	}
	p.killed = p.killed || sig == syscall.SIGKILL
	p.ending = p.ending || p.killed || sig == syscall.SIGTERM
	if sig == syscall.SIGTERM {
		p.since = time.Now()
	}
	return p.cmd.Process.Signal(sig)
}

// Exited is closed when the process has ended.
func (p *Proc) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// Kill ends the process at once.
func (p *Proc) Kill() {
	if p.Signal(syscall.SIGKILL) == nil {
		<-p.Exited()
	}
}

// stopSince returns when the process was told to stop; zero if it was not.
func (p *Proc) stopSince() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.since
}

// Close ends all processes and the Proxy.
func (s *Site) Close() {
	for _, p := range s.Procs {
		p.Kill()
	}
	s.Proxy.Close()
}
