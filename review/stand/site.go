// Package stand starts a small deployment of the project's own program as separate
// processes on loopback addresses, and stands in for its platform, its servers and
// its clients. The cases in review use it.
package stand

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"corianderwing/io/soak"
)

// Ports of the processes and servers.
const (
	peerPort   = 7000
	publicPort = 8000
	readyPort  = 8003
	adminPort  = 8001
	lookupPort = 8002
	serverPort = 9000
)

// Bounds of the deployment, as in the site file kazi-chonga.
const (
	ConfigApply    = 2500 * time.Millisecond
	Revoke         = 5 * time.Second
	Evacuate       = 5 * time.Second
	Grace          = 6 * time.Second
	Contact        = 4 * time.Second
	Ack            = 4 * time.Second
	Recovery       = 15 * time.Second
	QuotaWindow    = 5 * time.Second
	QuotaOvershoot = 0.1
	QuotaSlack     = 20
	beatInterval   = 1500 * time.Millisecond
)

// Zone is a failure domain.
type Zone struct{ Name, Region string }

// Options describe a deployment.
type Options struct {
	Zones       []Zone
	Controls    []string      // zone of each control instance
	Seeds       []int         // the control instances that are named as seeds
	Entries     []string      // zone of each entry instance
	Losses      int           // tolerate.machines
	RegionDelay time.Duration // one way, between regions
}

// Node is one process of the deployment.
type Node struct {
	Name   string
	Role   string
	Zone   Zone
	face   string // IP under which others know it
	bind   string // its own IP, behind the proxy
	site   *Site
	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	ended  bool // told to end
}

// Site is a deployment.
type Site struct {
	Record   *Record
	Controls []*Node
	Entries  []*Node
	Proxy    *soak.Proxy

	opts    Options
	program string
	dir     string
	octet   int
	servers int
	founded bool
	closed  atomic.Bool // no process is started any more
}

// openSites are the deployments that were laid out.
var openSites struct {
	sync.Mutex
	list []*Site
}

// closeAll ends the processes of all deployments.
func closeAll() {
	openSites.Lock()
	defer openSites.Unlock()
	for _, s := range openSites.list {
		s.Close()
	}
}

// New lays out a deployment. Its processes do not run yet. The second octet of its
// addresses is the first one at which the proxy can listen.
func New(o Options, r *Record) (*Site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/corianderwing")
	if err != nil {
		return nil, err
	}
	for octet := 10; octet < 250; octet += 3 {
		s := &Site{Record: r, Proxy: soak.NewProxy(), opts: o, program: program, dir: dir, octet: octet}
		if err = s.open(); err == nil {
			openSites.Lock()
			openSites.list = append(openSites.list, s)
			openSites.Unlock()
			return s, nil
		}
		s.Proxy.Close()
	}
	return nil, fmt.Errorf("no free loopback addresses: %w", err)
}

func (s *Site) open() error {
	for i, zone := range s.opts.Controls {
		s.Controls = append(s.Controls, s.node(fmt.Sprintf("control-%d", i+1), "control", zone, 11+i))
	}
	for i, zone := range s.opts.Entries {
		s.Entries = append(s.Entries, s.node(fmt.Sprintf("entry-%d", i+1), "entry", zone, 61+i))
	}
	for _, n := range s.Nodes() {
		s.Proxy.Name(n.bind, n.Name)
		ports := []int{peerPort, adminPort, lookupPort}
		if n.Role == "entry" {
			ports = []int{peerPort + 1, publicPort, readyPort}
		}
		for _, p := range ports {
			if err := s.Proxy.Open(address(n.face, p), address(n.bind, p), n.Name); err != nil {
				return err
			}
		}
	}
	for _, a := range s.Nodes() {
		for _, b := range s.Nodes() {
			if a.Zone.Region != b.Zone.Region {
				s.Proxy.Set(a.Name, b.Name, soak.Fault{Delay: s.opts.RegionDelay})
			}
		}
	}
	return nil
}

func (s *Site) node(name, role, zone string, host int) *Node {
	return &Node{
		Name: name, Role: role, Zone: s.zone(zone), site: s,
		face: fmt.Sprintf("127.%d.%d.1", s.octet, host),
		bind: fmt.Sprintf("127.%d.%d.1", s.octet+1, host),
	}
}

func (s *Site) zone(name string) Zone {
	for _, z := range s.opts.Zones {
		if z.Name == name {
			return z
		}
	}
	return Zone{Name: name}
}

func address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// Nodes returns all processes.
func (s *Site) Nodes() []*Node {
	return append(append([]*Node(nil), s.Controls...), s.Entries...)
}

// Start starts all processes for the first time, with empty disks.
func (s *Site) Start() error {
	for _, n := range s.Nodes() {
		if err := n.Start(); err != nil {
			return err
		}
	}
	s.founded = true
	return nil
}

// Close ends all processes and removes the files of the deployment.
func (s *Site) Close() {
	s.closed.Store(true)
	for _, n := range s.Nodes() {
		n.Kill()
	}
	s.Proxy.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
}

// Admin returns the address for servers and the operator.
func (n *Node) Admin() string { return address(n.face, adminPort) }

// Public returns the address for clients.
func (n *Node) Public() string { return address(n.face, publicPort) }

// Ready returns the address for readiness checks.
func (n *Node) Ready() string { return address(n.face, readyPort) }

func (n *Node) disk() string { return filepath.Join(n.site.dir, n.Name, "disk") }

// settings returns the settings file, as the templates of the deploy file make it.
func (n *Node) settings() string {
	s := n.site
	var seeds, zones []string
	for _, i := range s.opts.Seeds {
		seeds = append(seeds, s.Controls[i].Admin())
	}
	for _, z := range s.opts.Zones {
		zones = append(zones, z.Name+": "+z.Region)
	}
	listen := fmt.Sprintf("{admin: '%s', lookup: '%s'}", n.Admin(), address(n.face, lookupPort))
	data := "data: " + n.disk() + "\n"
	if n.Role == "entry" {
		listen = fmt.Sprintf("{public: '%s', ready: '%s'}", n.Public(), n.Ready())
		data = ""
	}
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
%slisten: %s
bounds: {lookup: 5s, apply: %s, revoke: %s, grace: %s, retry: 0.2, window: %s, over: %g, slack: %d}
`, n.Name, n.Role, n.face, n.bind, n.Zone.Name, n.Zone.Region, peerPort, peerPort+15, strings.Join(seeds, "', '"), !s.founded,
		beatInterval, strings.Join(zones, ", "), s.opts.Losses, data, listen, ConfigApply, Revoke, Grace, QuotaWindow, QuotaOvershoot, QuotaSlack)
}

// Start starts the process with the command of the deploy file.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.site.closed.Load() {
		return errors.New("the deployment is closed")
	}
	dir := filepath.Join(n.site.dir, n.Name)
	if err := os.MkdirAll(n.disk(), 0o755); err != nil {
		return err
	}
	file := filepath.Join(dir, "settings.yaml")
	if err := os.WriteFile(file, []byte(n.settings()), 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(n.site.program, "node", "--settings", file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.cmd, n.exited, n.ended = cmd, exited, false
	n.site.Record.Add("start", "node", n.Name)
	go func() {
		err := cmd.Wait()
		n.mu.Lock()
		told := n.ended
		n.mu.Unlock()
		if !told {
			n.site.Record.Add("ended by itself", "node", n.Name, "error", err)
		}
		close(exited)
	}()
	return nil
}

// Kill ends the process at once, and returns when it has ended.
func (n *Node) Kill() {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.ended = true
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	if cmd.Process.Signal(syscall.SIGKILL) == nil {
		n.site.Record.Add("kill", "node", n.Name)
	}
	<-exited
}

// Wipe empties the disk of a process that does not run.
func (n *Node) Wipe() {
	os.RemoveAll(n.disk())
	n.site.Record.Add("disk lost", "node", n.Name)
}

// Leads reports whether the latest change of role that the process logged made it the
// leader. It is used only to choose which processes a disruption hits.
func (n *Node) Leads() bool {
	data, err := os.ReadFile(filepath.Join(n.site.dir, n.Name, "log"))
	if err != nil {
		return false
	}
	leads := false
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, "role changed") {
			leads = strings.Contains(line, `"role":"leader"`)
		}
	}
	return leads
}

// WaitReady waits until all entry instances answer readiness checks with 200.
func (s *Site) WaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		ready := true
		for _, n := range s.Entries {
			ready = ready && get("http://"+n.Ready()+"/ready") == 200
		}
		if ready {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// listenServer listens at the address of the next server.
func (s *Site) listenServer() (net.Listener, error) {
	s.servers++
	return net.Listen("tcp", address(fmt.Sprintf("127.%d.%d.1", s.octet+2, s.servers), serverPort))
}
