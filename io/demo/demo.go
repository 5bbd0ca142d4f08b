package demo

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"corianderwing"
	"corianderwing/io/admin"
	"corianderwing/io/clock"
	"corianderwing/io/load"
)

//go:embed load.yaml
var loadYAML []byte

const (
	// readyTimeout bounds the start: elections take up to 2 s, and a new
	// leader grants nothing for 3 s.
	readyTimeout = 60 * time.Second
	// stopTimeout bounds the graceful stop of all entry instances.
	stopTimeout = 30 * time.Second
	// keyBound is how long a revoked key may still be served: the freshness
	// lease of 3 s and the time until the change is accepted.
	keyBound = 5 * time.Second
	// drainBound is how long a drained upstream may still get new work.
	drainBound = 5 * time.Second
	// leaderBound is how long a group may be without a leader after a kill.
	leaderBound = 10 * time.Second
	// tableEvery is the number of seconds between two tables of workspaces.
	tableEvery = 5
	// probeWorkspace is whose key is revoked on the way.
	probeWorkspace = corianderwing.WorkspaceID("prober")
	probePath      = "/prober/motif-catalogue/stock"
)

// Options are the choices of a run.
type Options struct {
	For  time.Duration // length of the traffic
	Seed uint64        // of the traffic
	Live io.Writer     // receives the live view; nil: none
}

// Summary is the outcome of a run.
type Summary struct {
	Seed    uint64       `json:"seed"`
	Seconds float64      `json:"seconds"`
	Load    *load.Result `json:"load"`
	Key     KeyStep      `json:"key"`
	Drain   DrainStep    `json:"drain"`
	Kill    KillStep     `json:"kill"`
	Broken  []string     `json:"broken"` // empty if every invariant held
}

// KeyStep tells what became of a revoked key.
type KeyStep struct {
	Done   bool  `json:"done"`
	Served int64 `json:"served"` // requests with the key, before and after
	Late   int64 `json:"late"`   // ms from acceptance to the start of the last served request; negative if earlier
}

// DrainStep tells what a drained upstream still got.
type DrainStep struct {
	Done     bool                     `json:"done"`
	Upstream corianderwing.UpstreamID `json:"upstream"`
	After    int                      `json:"after"` // requests that started after acceptance
	Late     int64                    `json:"late"`  // ms from acceptance to the last of them
}

// KillStep tells how a group went on after its leader was killed.
type KillStep struct {
	Done   bool                     `json:"done"`
	Group  corianderwing.GroupID    `json:"group"`
	Killed corianderwing.InstanceID `json:"killed"`
	Leader corianderwing.InstanceID `json:"leader"` // afterwards
	Took   int64                    `json:"took"`   // ms until the group accepted a change again
}

// demo is one run.
type demo struct {
	opts    Options
	fleet   *fleet
	counter *counter
	client  *http.Client
	lines   int // of the live view
	summary Summary
}

// Run runs the demo. The error says why it could not be run; broken
// invariants are in the summary.
func Run(ctx context.Context, opts Options) (*Summary, error) {
	if opts.Live == nil {
		opts.Live = io.Discard
	}
	fmt.Fprintln(opts.Live, "starting 6 control and 12 entry instances in 6 failure domains, and 42 stand-in upstreams")
	f, err := startFleet()
	if err != nil {
		return nil, err
	}
	d := &demo{opts: opts, fleet: f}
	d.counter = newCounter(&http.Transport{MaxIdleConnsPerHost: 256})
	d.client = &http.Client{Transport: d.counter.next, Timeout: 10 * time.Second}
	d.summary.Seed, d.summary.Broken = opts.Seed, []string{}
	err = d.run(ctx)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if stopErr := f.stop(stopCtx); err == nil && stopErr != nil {
		d.broke("I12: a graceful stop failed: %v", stopErr)
	}
	if n := f.broken.Load(); n > 0 {
		d.broke("%d invariants broke inside the program", n)
	}
	return &d.summary, err
}

func (d *demo) broke(format string, args ...any) {
	d.summary.Broken = append(d.summary.Broken, fmt.Sprintf(format, args...))
}

func (d *demo) run(ctx context.Context) error {
	if err := d.awaitReady(ctx); err != nil {
		return err
	}
	scenario, err := d.scenario()
	if err != nil {
		return err
	}
	trafficCtx, cancel := context.WithTimeout(ctx, d.opts.For)
	defer cancel()
	stepErr := make(chan error, 1)
	go func() { stepErr <- d.steps(trafficCtx) }()
	start := time.Now()
	result, err := load.Run(trafficCtx, scenario, d.fleet.cfg,
		load.WithTransport(d.counter), load.WithProgress(d.live))
	if err != nil {
		return err
	}
	d.summary.Seconds = time.Since(start).Seconds()
	d.summary.Load = result
	if err := <-stepErr; err != nil {
		return err
	}
	result.Judge(ctx, d.fleet.cfg, d.client)
	d.judge()
	return ctx.Err()
}

func (d *demo) scenario() (*load.Scenario, error) {
	s := new(load.Scenario)
	if err := yaml.UnmarshalWithOptions(loadYAML, s, yaml.Strict()); err != nil {
		return nil, eris.Wrap(err, "read the demo's scenario")
	}
	s.Name = "demo"
	s.Time = d.opts.For.Seconds()
	s.Seed = d.opts.Seed
	return s, s.Check(d.fleet.cfg)
}

// awaitReady waits until every entry instance serves a keyed request.
func (d *demo) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	key, _ := d.fleet.cfg.FirstSeedKey(probeWorkspace)
	for _, p := range d.fleet.cfg.Processes {
		if p.Entry == nil {
			continue
		}
		probe := &prober{client: d.client, key: key, path: probePath}
		for probe.served.Load() == 0 {
			probe.once(ctx, p.Entry.PublicAddr)
			if !clock.Sleep(ctx, 20*time.Millisecond) {
				return eris.Wrapf(ctx.Err(), "%s does not serve", p.ID)
			}
		}
	}
	return nil
}

// live prints one line of the live view for each second, and a table of the
// workspaces now and then.
func (d *demo) live(sent, planned int) {
	var parts []string
	for c, n := range d.counter.takeCodes() {
		parts = append(parts, fmt.Sprintf("%s:%d", codeName(c), n))
	}
	slices.Sort(parts)
	fmt.Fprintf(d.opts.Live, "%6d of %d sent  %s\n", sent, planned, strings.Join(parts, " "))
	if d.lines++; d.lines%tableEvery != 0 {
		return
	}
	all := d.counter.takeWorkspaces()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		t := all[name]
		fmt.Fprintf(d.opts.Live, "       %-16s served %5d  refused %5d  first byte p50 %6.1f ms  p99 %6.1f ms\n", name, t.served, t.refused,
			float64(t.first.ValueAtPercentile(50))/1000, float64(t.first.ValueAtPercentile(99))/1000)
	}
}

func codeName(text string) string {
	var c corianderwing.Code
	if _, err := fmt.Sscan(text, &c); err != nil {
		return text
	}
	return c.String()
}

// steps revokes a key, drains an upstream and kills a control instance while
// the traffic runs, each at a fixed part of its time.
func (d *demo) steps(ctx context.Context) error {
	start := time.Now()
	steps := []struct {
		at float64
		do func(context.Context) error
	}{{0.1, d.revokeKey}, {0.35, d.drainUpstream}, {0.65, d.killLeader}}
	for _, step := range steps {
		due := start.Add(time.Duration(step.at * float64(d.opts.For)))
		if !clock.Sleep(ctx, time.Until(due)) {
			return nil // the traffic ended first
		}
		// A step ends even if the traffic ends meanwhile: its bounds count.
		if err := step.do(context.WithoutCancel(ctx)); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) revokeKey(ctx context.Context) error {
	key, err := d.fleet.admin.AddKey(ctx, admin.AddKey{Workspace: probeWorkspace, Label: "demo"})
	if err != nil {
		return eris.Wrap(err, "add a key")
	}
	probe := &prober{client: d.client, key: key.Secret, path: probePath}
	probeCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go probe.run(probeCtx, d.fleet)
	if err := d.fleet.admin.Await(ctx, key.Group, key.Revision); err != nil {
		return err
	}
	clock.Sleep(ctx, 300*time.Millisecond)
	a, err := d.fleet.admin.RevokeKey(ctx, admin.RevokeKey{Workspace: probeWorkspace, ID: key.Key.ID})
	if err != nil {
		return eris.Wrap(err, "revoke the key")
	}
	accepted := time.Now()
	fmt.Fprintf(d.opts.Live, "-- revoked key %s at revision %d\n", key.Key.ID, a.Revision)
	clock.Sleep(ctx, keyBound)
	before := probe.served.Load()
	clock.Sleep(ctx, 500*time.Millisecond)
	d.summary.Key = KeyStep{
		Done:   true,
		Served: probe.served.Load(),
		Late:   time.Unix(0, probe.last.Load()).Sub(accepted).Milliseconds(),
	}
	if probe.served.Load() != before {
		d.broke("I5: a revoked key was served %v after the revocation was accepted", keyBound)
	}
	return nil
}

func (d *demo) drainUpstream(ctx context.Context) error {
	id := d.busiest()
	groups := d.fleet.cfg.Groups
	a, err := d.fleet.admin.Drain(ctx, admin.SetDrain{Change: admin.Change{Group: groups[0].Name}, Upstream: id})
	if err != nil {
		return eris.Wrap(err, "drain an upstream")
	}
	accepted := time.Now()
	fmt.Fprintf(d.opts.Live, "-- drained upstream %s at revision %d\n", id, a.Revision)
	clock.Sleep(ctx, drainBound)
	last, late := d.fleet.latestRun(id, accepted)
	d.summary.Drain = DrainStep{Done: true, Upstream: id, After: late}
	if late > 0 {
		d.summary.Drain.Late = last.Sub(accepted).Milliseconds()
	}
	clock.Sleep(ctx, 500*time.Millisecond)
	if again, _ := d.fleet.latestRun(id, accepted); again.After(accepted.Add(drainBound)) {
		d.broke("I11: upstream %s got new work %v after the drain was accepted", id, drainBound)
	}
	return nil
}

// busiest returns the upstream that started the most requests.
func (d *demo) busiest() corianderwing.UpstreamID {
	var best corianderwing.UpstreamID
	most := uint64(0)
	for id, s := range d.fleet.stubs {
		if n := s.Ran(0).Started; n > most || n == most && id < best {
			best, most = id, n
		}
	}
	return best
}

func (d *demo) killLeader(ctx context.Context) error {
	status, err := d.fleet.admin.Status(ctx)
	if err != nil {
		return eris.Wrap(err, "read status")
	}
	g := status.Groups[0]
	step := KillStep{Group: g.Group, Killed: g.Leader}
	fmt.Fprintf(d.opts.Live, "-- killed control instance %s, which led group %s\n", g.Leader, g.Group)
	d.fleet.kill(g.Leader)
	killed := time.Now()
	ctx, cancel := context.WithTimeout(ctx, 3*leaderBound)
	defer cancel()
	a, err := d.fleet.admin.Drain(ctx, admin.SetDrain{Change: admin.Change{Group: g.Group}, Upstream: "none"})
	if err != nil {
		d.broke("I13: group %s accepted no change after its leader was killed: %v", g.Group, err)
		return nil
	}
	took := time.Since(killed)
	step.Done, step.Took = true, took.Milliseconds()
	if a.Revision <= g.Revision {
		d.broke("I13: group %s went back from revision %d to %d", g.Group, g.Revision, a.Revision)
	}
	if took > leaderBound {
		d.broke("group %s accepted no change for %v, bound %v", g.Group, took, leaderBound)
	}
	if after, err := d.fleet.admin.Status(ctx); err == nil {
		step.Leader = after.Groups[0].Leader
	}
	d.summary.Kill = step
	return nil
}

// judge adds what the load and the upstreams show.
func (d *demo) judge() {
	d.summary.Broken = append(d.summary.Broken, d.summary.Load.Broken()...)
	if !d.summary.Load.Orders.Judged {
		d.broke("the upstreams' logs could not be read in full")
	}
}
