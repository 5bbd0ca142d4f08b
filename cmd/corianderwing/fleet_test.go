package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"text/template"
	"time"

	"corianderwing"
	"corianderwing/io/entry"
	"corianderwing/io/local"
	"corianderwing/io/stub"
)

// patience bounds every wait for an observable condition in these tests. It is
// far above what a loaded machine needs.
const patience = 60 * time.Second

var binary string // the corianderwing command, built by TestMain

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "corianderwing")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "corianderwing")
	build := exec.Command("go", "build", "-o", binary, ".")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// deployment has three control instances that form one group, four entry
// instances in two failure domains, and two upstreams in each.
var deployment = template.Must(template.New("deployment").Parse(`
secret: secret-of-the-process-tests
log: {level: info}
regions:
  - {name: r1, domains: [r1-a, r1-b], delay: 0.5}
domains:
  - {name: r1-a, region: r1, seats: 2}
  - {name: r1-b, region: r1, seats: 2}
groups:
  - {name: home, voters: [c1, c2, c3]}
processes:
{{- range .Controls}}
  - {id: {{.ID}}, domain: {{.Domain}}, control: {data: {{.Data}}, peer: "{{.Peer}}", admin: "{{.Admin}}"}}
{{- end}}
{{- range .Entries}}
  - {id: {{.ID}}, domain: {{.Domain}}, entry: {public: "{{.Public}}", inner: "{{.Inner}}", peer: "{{.Peer}}"}}
{{- end}}
seed:
  tree:
    - name: shop
      home: home
      rate: 5000
      burst: 5000
      keys:
        - {name: shop-1, key: key-of-the-shop}
      services:
        - name: goods
          routes:
            - {name: browse, prefix: /, methods: [GET]}
            - {name: open, prefix: /open, methods: [GET], open: true}
            - {name: slow, prefix: /slow, methods: [GET], timeout: 30000}
            - {name: orders, prefix: /orders, methods: [POST], once: true, timeout: 5000, body: 4096}
`))

const (
	shopKey = "key-of-the-shop"
	pool    = "goods"
)

type place struct {
	ID, Domain, Data, Peer, Admin, Public, Inner string
}

// processes is a running deployment of real processes.
type processes struct {
	t        *testing.T
	dir      string
	settings map[string]string // settings file of each process
	Controls []place
	Entries  []place
	Stubs    []place
	running  map[string]*exec.Cmd
	log      string // a log file with a line of the request shop-1
}

func newProcesses(t *testing.T) *processes {
	t.Helper()
	f := &processes{t: t, dir: t.TempDir(), settings: map[string]string{}, running: map[string]*exec.Cmd{}}
	domains := []string{"r1-a", "r1-b"}
	for i := range 3 {
		id := fmt.Sprintf("c%d", i+1)
		f.Controls = append(f.Controls, place{ID: id, Domain: domains[i%2], Data: filepath.Join(f.dir, id), Peer: freeAddr(t), Admin: freeAddr(t)})
	}
	for i := range 4 {
		f.Entries = append(f.Entries, place{ID: fmt.Sprintf("e%d", i+1), Domain: domains[i/2], Public: freeAddr(t), Inner: freeAddr(t), Peer: freeAddr(t)})
		f.Stubs = append(f.Stubs, place{ID: fmt.Sprintf("u%d", i+1), Domain: domains[i/2], Public: freeAddr(t)})
	}
	for _, p := range append(f.Controls, f.Entries...) {
		f.configure(p.ID, nil)
	}
	t.Cleanup(f.cleanup)
	return f
}

// configure writes the settings file of a process. Via replaces the peer
// addresses of control instances, by id, as that process sees them.
func (f *processes) configure(id string, via map[string]string) {
	f.t.Helper()
	seen := *f
	seen.Controls = slices.Clone(f.Controls)
	for i, c := range seen.Controls {
		if addr, ok := via[c.ID]; ok {
			seen.Controls[i].Peer = addr
		}
	}
	var text bytes.Buffer
	if err := deployment.Execute(&text, &seen); err != nil {
		f.t.Fatal(err)
	}
	f.settings[id] = filepath.Join(f.dir, id+".yaml")
	if err := os.WriteFile(f.settings[id], text.Bytes(), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// freeAddr returns a loopback address for one listener.
func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := local.Addr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

func (f *processes) startControls() {
	for _, c := range f.Controls {
		f.serve(c.ID)
	}
}

func (f *processes) startAll() {
	f.startControls()
	for _, e := range f.Entries {
		f.serve(e.ID)
	}
	for i, s := range f.Stubs {
		first := i / 2 * 2
		f.start(s.ID, "stub", "--id", s.ID, "--pool", pool, "--domain", s.Domain, "--addr", s.Public,
			"--entry", f.Entries[first].Public, "--entry", f.Entries[first+1].Public, "--time", "5ms", "--slots", "4")
	}
}

func (f *processes) serve(id string) {
	f.start(id, "serve", "--settings", f.settings[id], "--process", id, "--seed")
}

func (f *processes) start(id string, args ...string) {
	f.t.Helper()
	out, err := os.OpenFile(f.logFile(id), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		f.t.Fatal(err)
	}
	defer out.Close()
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.running[id] = cmd
}

func (f *processes) logFile(id string) string { return filepath.Join(f.dir, id+".log") }

// signal sends sig to a process.
func (f *processes) signal(id string, sig syscall.Signal) {
	f.t.Helper()
	if err := f.running[id].Process.Signal(sig); err != nil {
		f.t.Fatal(err)
	}
}

// kill ends a process with kill -9.
func (f *processes) kill(id string) {
	f.t.Helper()
	f.signal(id, syscall.SIGKILL)
	f.running[id].Wait()
	delete(f.running, id)
}

func (f *processes) cleanup() {
	for id, cmd := range f.running {
		cmd.Process.Kill()
		cmd.Wait()
		if f.t.Failed() {
			text, _ := os.ReadFile(f.logFile(id))
			f.t.Logf("log of %s:\n%s", id, text[max(0, len(text)-2000):])
		}
	}
}

// eventually waits until ok returns true.
func (f *processes) eventually(what string, ok func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(patience)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !ok() {
		if time.Now().After(deadline) {
			f.t.Fatalf("not within %v: %s", patience, what)
		}
		<-tick.C
	}
}

// reply is what a caller sees.
type reply struct {
	status int
	code   corianderwing.Code
	run    corianderwing.Execution
	header http.Header
	body   []byte
	err    error // no complete answer
}

// send sends one request as a plain HTTP caller. Each uses a connection of its
// own, so that the caller's library cannot repeat it.
func (f *processes) send(e place, method, path string, header map[string]string, body io.Reader) reply {
	req, err := http.NewRequest(method, "http://"+e.Public+path, body)
	if err != nil {
		f.t.Fatal(err)
	}
	req.Close = true
	for name, value := range header {
		req.Header.Set(name, value)
	}
	return exchange(&http.Client{Timeout: patience}, req)
}

func exchange(client *http.Client, req *http.Request) reply {
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	r := reply{status: resp.StatusCode, header: resp.Header, run: corianderwing.Execution(resp.Header.Get("Cw-Run"))}
	fmt.Sscan(resp.Header.Get("Cw-Code"), &r.code)
	r.body, r.err = io.ReadAll(resp.Body)
	return r
}

func (f *processes) get(e place, path string) reply {
	return f.send(e, http.MethodGet, path, map[string]string{"X-Api-Key": shopKey}, nil)
}

// ready waits until every entry instance serves keyed requests.
func (f *processes) ready() {
	f.t.Helper()
	for _, e := range f.Entries {
		f.eventually(e.ID+" serves a keyed request", func() bool {
			return f.get(e, "/shop/goods/ready").status == http.StatusOK
		})
	}
}

// lookup asks an entry instance which ones to use.
func (f *processes) lookup(e place) entry.LookupResponse {
	resp, err := http.Get("http://" + e.Public + "/-/lookup")
	if err != nil {
		return entry.LookupResponse{}
	}
	defer resp.Body.Close()
	var a entry.LookupResponse
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		return entry.LookupResponse{}
	}
	return a
}

// runs returns how often the upstreams started each path, and what they
// report besides.
func (f *processes) runs() (map[string]int, []stub.Ran) {
	f.t.Helper()
	count := map[string]int{}
	var all []stub.Ran
	for _, s := range f.Stubs {
		resp, err := http.Get("http://" + s.Public + "/ran?most=1000000")
		if err != nil {
			f.t.Fatal(err)
		}
		var ran stub.Ran
		err = json.NewDecoder(resp.Body).Decode(&ran)
		resp.Body.Close()
		if err != nil {
			f.t.Fatal(err)
		}
		for _, r := range ran.Runs {
			count[r.Path]++
		}
		all = append(all, ran)
	}
	return count, all
}
