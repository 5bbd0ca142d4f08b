package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// zones lists the zones of the deployment and their regions.
var zones = [][2]string{
	{"nbo-a", "nairobi"}, {"mba-a", "mombasa"}, {"ksm-a", "kisumu"},
	{"nbo-b", "nairobi"}, {"mba-b", "mombasa"}, {"ksm-b", "kisumu"},
}

// machine is one machine of the deployment with its process.
type machine struct {
	name, ip, zone, region string
	peerIP                 string // under which other machines know it; a proxy listens there
	front                  bool
	dir                    string
	settings               string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	dir      string
	program  string
	base     int // first port; ports are the same on all machines
	cores    []*machine
	fronts   []*machine
	rec      *recorder
	proxies  []*proxy
	mu       sync.Mutex
	closed   bool
	isolated atomic.Pointer[machine] // cut off from all other machines; nil for none
}

// Delays of the links between machines, one way.
const (
	zoneDelay   = 500 * time.Microsecond
	regionDelay = 35 * time.Millisecond
)

// Ports relative to fleet.base.
const (
	portPeer    = 0 // and the next one
	portControl = 10
	portLookup  = 11
	portFront   = 12
	portReady   = 13
	portMetrics = 14
	portServer  = 15
)

// current is the deployment that a signal to this program ends.
var current atomic.Pointer[fleet]

func newFleet(rec *recorder, cores, fronts int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, program: "target/corianderwing", rec: rec}
	current.Store(f)
	if f.base, err = freeBase(); err != nil {
		return nil, err
	}
	for i := range cores {
		f.cores = append(f.cores, f.machine("core", i, false))
	}
	for i := range fronts {
		f.fronts = append(f.fronts, f.machine("front", i, true))
	}
	for _, m := range f.machines() {
		if err := f.writeSettings(m, true); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// freeBase returns the first of 100 ports that are free.
func freeBase() (int, error) {
	for base := 21000; base < 32000; base += 100 {
		free := true
		for p := base; p < base+20 && free; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("0.0.0.0:%d", p))
			if err != nil {
				free = false
				continue
			}
			l.Close()
		}
		if free {
			return base, nil
		}
	}
	return 0, errors.New("no free ports")
}

func (f *fleet) machine(kind string, i int, front bool) *machine {
	z := zones[i%len(zones)]
	third := 1
	if front {
		third = 2
	}
	return &machine{
		name: fmt.Sprintf("%s-%s-%d", kind, z[0], i/len(zones)+1), ip: fmt.Sprintf("127.61.%d.%d", third, i+1), peerIP: fmt.Sprintf("127.62.%d.%d", third, i+1),
		zone: z[0], region: z[1], front: front, dir: filepath.Join(f.dir, fmt.Sprintf("%s%d", kind, i)),
	}
}

func (f *fleet) machines() []*machine {
	return append(append([]*machine{}, f.cores...), f.fronts...)
}

func (f *fleet) addr(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, f.base+port) }

// writeSettings writes the settings file of a machine, as the templates of the deploy
// file give it.
func (f *fleet) writeSettings(m *machine, first bool) error {
	if err := os.MkdirAll(m.dir, 0o755); err != nil {
		return err
	}
	var seeds []string
	for _, c := range f.cores[:min(3, len(f.cores))] {
		seeds = append(seeds, f.addr(c.peerIP, portControl))
	}
	list, _ := json.Marshal(seeds)
	places := map[string]string{}
	for _, z := range zones {
		places[z[0]] = z[1]
	}
	domains, _ := json.Marshal(places)
	var b strings.Builder
	role := "control"
	if m.front {
		role = "entry"
	}
	fmt.Fprintf(&b, "name: %q\nrole: %s\nip: %q\nbind: %q\ndomain: %q\nregion: %q\nports: [%d,%d]\nseeds: %s\nfound: %v\nbeat: 1500ms\ndomains: %s\n",
		m.name, role, m.peerIP, m.ip, m.zone, m.region, f.base+portPeer, f.base+portPeer+9, list, first, domains)
	losses := 1
	if len(f.cores) >= 5 {
		losses = 2
	}
	fmt.Fprintf(&b, "losses: %d\nmemory: 284\nfiles: 1000\n", losses)
	if m.front {
		fmt.Fprintf(&b, "listen:\n  public: %q\n  ready: %q\n", f.addr(m.ip, portFront), f.addr(m.ip, portReady))
	} else {
		fmt.Fprintf(&b, "data: %q\nlisten:\n  admin: %q\n  lookup: %q\n", filepath.Join(m.dir, "data"), f.addr(m.ip, portControl), f.addr(m.ip, portLookup))
	}
	fmt.Fprintf(&b, "  metrics: %q\n", f.addr(m.ip, portMetrics))
	b.WriteString("bounds:\n  lookup: 5s\n  apply: 2500ms\n  revoke: 5000ms\n  grace: 6s\n  retry: 0.2\n  window: 5s\n  over: 0.1\n  slack: 20\n")
	m.settings = filepath.Join(m.dir, "local.yaml")
	return os.WriteFile(m.settings, []byte(b.String()), 0o644)
}

// start starts the process of a machine.
func (f *fleet) start(m *machine) error {
	out, err := os.OpenFile(filepath.Join(m.dir, "out.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return errors.New("the deployment is closed")
	}
	cmd := exec.Command(f.program, "node", "--settings", m.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.done = cmd, done
	m.mu.Unlock()
	f.rec.note("start %s", m.name)
	go func() {
		err := cmd.Wait()
		f.rec.note("end %s: %v", m.name, err)
		close(done)
	}()
	return nil
}

// startProxies starts the links between the machines.
func (f *fleet) startProxies() error {
	for _, m := range f.machines() {
		for _, port := range []int{portPeer, portPeer + 1} {
			p, err := startProxy(f.addr(m.peerIP, port), f.addr(m.ip, port), func(ip string) time.Duration { return f.delay(ip, m) },
				func(ip string) bool { return f.isCut(ip, m) })
			if err != nil {
				return err
			}
			f.proxies = append(f.proxies, p)
		}
	}
	return nil
}

// isCut reports whether the machine at an address and another one cannot reach each
// other.
func (f *fleet) isCut(ip string, to *machine) bool {
	m := f.isolated.Load()
	return m != nil && (m == to || m.ip == ip)
}

// delay returns the delay from the machine at an address to another one.
func (f *fleet) delay(ip string, to *machine) time.Duration {
	for _, m := range f.machines() {
		if m.ip == ip && m.region != to.region {
			return regionDelay
		}
	}
	return zoneDelay
}

// startAll starts all processes, as on the first day.
func (f *fleet) startAll() error {
	if err := f.startProxies(); err != nil {
		return err
	}
	for _, m := range f.machines() {
		if err := f.start(m); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to the process of a machine.
func (f *fleet) signal(m *machine, s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f.rec.note("%v to %s", s, m.name)
	if m.cmd != nil {
		m.cmd.Process.Signal(s)
	}
}

// wait waits for the end of the process of a machine.
func (f *fleet) wait(m *machine, d time.Duration) bool {
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	select {
	case <-done:
		return true
	case <-time.After(d):
		return false
	}
}

// close ends all processes and removes their files.
func (f *fleet) close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	for _, m := range f.machines() {
		m.mu.Lock()
		if m.cmd != nil {
			m.cmd.Process.Signal(syscall.SIGCONT)
			m.cmd.Process.Kill()
		}
		m.mu.Unlock()
	}
	for _, m := range f.machines() {
		m.mu.Lock()
		done := m.done
		m.mu.Unlock()
		if done != nil {
			<-done
		}
	}
	for _, p := range f.proxies {
		p.close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println("files kept in", f.dir)
	}
}

var apiClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call makes a call of the operator or of a server at any core machine, and repeats it
// at others until one answers.
func (f *fleet) call(ctx context.Context, method, path string, body any) (int, []byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	for i := 0; ; i++ {
		m := f.cores[i%len(f.cores)]
		status, text, err := f.callAt(ctx, m, method, path, data)
		if err == nil && status < 500 {
			return status, text, nil
		}
		select {
		case <-ctx.Done():
			return status, text, fmt.Errorf("%s %s: status %d, %v", method, path, status, err)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (f *fleet) callAt(ctx context.Context, m *machine, method, path string, data []byte) (int, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+f.addr(m.ip, portControl)+path, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := apiClient.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, text, err
}

// ready reports whether a front machine answers its readiness check with 200.
func (f *fleet) ready(m *machine) bool {
	resp, err := apiClient.Get("http://" + f.addr(m.ip, portReady) + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until all front machines are ready.
func (f *fleet) waitReady(d time.Duration) error {
	for end := time.Now().Add(d); ; time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, m := range f.fronts {
			if f.ready(m) {
				n++
			}
		}
		if n == len(f.fronts) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d front machines are ready", n, len(f.fronts))
		}
	}
}
