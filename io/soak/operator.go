package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"corianderwing"
)

// The workspaces of a run.
const (
	mainWorkspace  = "main"
	boundWorkspace = "bound" // has a rate
	churnWorkspace = "churn" // its keys change
	boundRate      = 8.0     // requests a second
	boundBurst     = 10.0
)

// keyring holds the keys that callers use, the latest revoked ones included.
type keyring struct {
	mu   sync.Mutex
	list []string // of the churn workspace, the oldest first
	live int      // the last ones, which are not revoked
}

// revokedUsed is how many revoked keys callers go on to use.
const revokedUsed = 2

// pick returns a key with its workspace.
func (k *keyring) pick(rng *rand.Rand) (corianderwing.WorkspaceID, string) {
	switch x := rng.Float64(); {
	case x < 0.4:
		return mainWorkspace, "k-main"
	case x < 0.7:
		return boundWorkspace, "k-bound"
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	recent := k.list[max(0, len(k.list)-k.live-revokedUsed):]
	return churnWorkspace, recent[rng.IntN(len(recent))]
}

func (k *keyring) add(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.list = append(k.list, key)
	k.live++
}

// revoke notes that the oldest live key is not one any more.
func (k *keyring) revoke() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.live--
}

// operator changes the settings. One change is under way at a time, but for
// those that race on purpose.
type operator struct {
	run      *run
	rng      *rand.Rand
	version  corianderwing.Version
	keys     []string // live ones of the churn workspace
	last     corianderwing.Edit
	mu       sync.Mutex
	accepted map[string]corianderwing.Version // newest confirmed version by item
}

func rule(name, prefix string, v corianderwing.Version, once, open bool) corianderwing.Rule {
	return corianderwing.Rule{
		Name: corianderwing.RouteID(name), Version: v, Host: host, Prefix: prefix, AtMostOnce: once, Public: open,
		Timeout: 2000, TargetLatency: 600, Priority: 1, MaxAttempts: 2, Targets: []corianderwing.Target{{Pool: pool, Weight: 1}},
	}
}

// first returns the settings with which a run begins.
func (o *operator) first() corianderwing.Edit {
	o.version = 1
	o.keys = []string{"k-churn-0"}
	return corianderwing.Edit{
		Rules: []corianderwing.Rule{
			rule("r-goods", "/goods/", 1, false, false), rule("r-orders", "/orders/", 1, true, false), rule("r-open", "/open/", 1, false, true),
		},
		WorkspacePolicies: []corianderwing.WorkspacePolicy{
			{Name: mainWorkspace, Version: 1, Keys: []string{"k-main"}},
			{Name: boundWorkspace, Version: 1, Keys: []string{"k-bound"}, Rate: boundRate, Burst: boundBurst},
			o.churn(1),
		},
		Pools:  []corianderwing.Pool{{Name: pool, Version: 1, HealthPath: "/health", MaxConns: 300, Protocol: "h1"}},
		Limits: &corianderwing.Limits{Version: 1, Header: 16 << 10, Body: 64 << 20, HeaderTimeout: 3000, IdleTimeout: 15000},
	}
}

func (o *operator) churn(v corianderwing.Version) corianderwing.WorkspacePolicy {
	return corianderwing.WorkspacePolicy{Name: churnWorkspace, Version: v, Keys: slices.Clone(o.keys)}
}

// loop does one thing after the other until ctx ends.
func (o *operator) loop(ctx context.Context) {
	for ctx.Err() == nil {
		switch o.rng.IntN(8) {
		case 0, 1:
			o.addKey(ctx)
		case 2, 3:
			o.revokeKey(ctx)
		case 4:
			o.invalid(ctx)
		case 5:
			o.again(ctx)
		case 6:
			o.storm(ctx)
		case 7:
			o.race(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(200*time.Millisecond + time.Duration(o.rng.Int64N(int64(1200*time.Millisecond)))):
		}
	}
}

// edit sends a change until it is confirmed or refused.
func (o *operator) edit(ctx context.Context, e corianderwing.Edit) error {
	for {
		err := o.run.order(ctx, func(ctx context.Context, addr string) error { return o.run.cfg.Wire.Edit(ctx, addr, e) })
		if err == nil {
			o.accept(e)
			return nil
		}
		if final(err) || ctx.Err() != nil {
			return err
		}
	}
}

// final reports whether an order was refused for good.
func final(err error) bool {
	code := corianderwing.CodeOf(err)
	return code == corianderwing.InvalidInput || code == corianderwing.RevisionConflict
}

// accept notes that the items of a change were confirmed.
func (o *operator) accept(e corianderwing.Edit) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range e.Rules {
		o.accepted["rule "+string(r.Name)] = max(o.accepted["rule "+string(r.Name)], r.Version)
	}
	for _, t := range e.WorkspacePolicies {
		o.accepted["workspace "+string(t.Name)] = max(o.accepted["workspace "+string(t.Name)], t.Version)
	}
}

// must sends a valid change; it may not be refused.
func (o *operator) must(ctx context.Context, e corianderwing.Edit) bool {
	err := o.edit(ctx, e)
	if err == nil {
		o.last = e
		return true
	}
	if ctx.Err() == nil {
		o.run.ledger.Break(Checked, time.Now(), "", "a valid change was refused: %v", err)
	}
	return false
}

func (o *operator) addKey(ctx context.Context) {
	o.version++
	key := fmt.Sprintf("k-churn-%d", o.version)
	o.keys = append(o.keys, key)
	if o.must(ctx, corianderwing.Edit{WorkspacePolicies: []corianderwing.WorkspacePolicy{o.churn(o.version)}}) {
		o.run.ledger.Add(key, time.Now())
		o.run.keys.add(key)
	}
}

func (o *operator) revokeKey(ctx context.Context) {
	if len(o.keys) < 2 {
		return
	}
	o.version++
	key := o.keys[0]
	o.keys = o.keys[1:]
	o.run.ledger.Revoking(key, time.Now())
	if o.must(ctx, corianderwing.Edit{WorkspacePolicies: []corianderwing.WorkspacePolicy{o.churn(o.version)}}) {
		o.run.ledger.Revoke(key, time.Now())
		o.run.keys.revoke()
	}
}

// invalid sends changes that must be refused: a pool that does not exist, and a
// version that is held with other content.
func (o *operator) invalid(ctx context.Context) {
	bad := rule("r-goods", "/goods/", o.version+1000, false, false)
	bad.Targets[0].Pool = "nothing"
	other := rule("r-open", "/open/", 1, true, false)
	for _, e := range []corianderwing.Edit{{Rules: []corianderwing.Rule{bad}}, {Rules: []corianderwing.Rule{other}}} {
		err := o.run.order(ctx, func(ctx context.Context, addr string) error { return o.run.cfg.Wire.Edit(ctx, addr, e) })
		if err == nil {
			o.run.ledger.Break(Checked, time.Now(), "", "an invalid change of %s was accepted", e.Rules[0].Name)
		}
	}
}

// again sends the last change once more.
func (o *operator) again(ctx context.Context) {
	if len(o.last.WorkspacePolicies) == 0 {
		return
	}
	if err := o.edit(ctx, o.last); err != nil && final(err) {
		o.run.ledger.Break(Checked, time.Now(), "", "a repeated change was refused: %v", err)
	}
}

// storm adds a rule and changes it several times in a row. Nothing changes it
// later, so that its loss shows.
func (o *operator) storm(ctx context.Context) {
	name := fmt.Sprintf("r-storm-%d", o.version+1)
	for range 4 {
		o.version++
		r := rule(name, "/"+name+"/", o.version, false, false)
		if !o.must(ctx, corianderwing.Edit{Rules: []corianderwing.Rule{r}}) {
			return
		}
	}
}

// race changes two items at the same time.
func (o *operator) race(ctx context.Context) {
	var wg sync.WaitGroup
	for _, name := range []string{"r-race-1", "r-race-2"} {
		o.version++
		e := corianderwing.Edit{Rules: []corianderwing.Rule{rule(name, "/"+name+"/", o.version, false, false)}}
		wg.Go(func() {
			if err := o.edit(ctx, e); err != nil && ctx.Err() == nil {
				o.run.ledger.Break(Checked, time.Now(), "", "a change of %s that raced was refused: %v", name, err)
			}
		})
	}
	wg.Wait()
}

// verify compares the settings at the end with what was confirmed.
func (o *operator) verify(e corianderwing.Edit) {
	o.mu.Lock()
	defer o.mu.Unlock()
	found := map[string]corianderwing.Version{}
	for _, r := range e.Rules {
		found["rule "+string(r.Name)] = r.Version
	}
	for _, t := range e.WorkspacePolicies {
		found["workspace "+string(t.Name)] = t.Version
		if t.Name == churnWorkspace && t.Version == o.version && !slices.Equal(t.Keys, o.keys) {
			o.run.ledger.Break(Kept, time.Now(), "", "the keys of version %d are %v, sent %v", t.Version, t.Keys, o.keys)
		}
	}
	for name, v := range o.accepted {
		if found[name] < v {
			o.run.ledger.Break(Kept, time.Now(), "", "%s is at version %d, confirmed %d", name, found[name], v)
		}
	}
}
