// Command 3 shows that keys are not checked any more once the last tenant is dropped:
// a withdrawn key, and one that never existed, run requests.
package main

import (
	"context"
	"time"

	"corianderwing/review/stand"
)

// attempts is the number of requests with each key.
const attempts = 5

func main() { stand.Main(run) }

func run(r *stand.Record, trouble bool) int {
	site, err := stand.New(stand.Options{
		Zones:    []stand.Zone{{Name: "nbo-a", Region: "nairobi"}, {Name: "mba-a", Region: "mombasa"}, {Name: "ksm-a", Region: "kisumu"}},
		Controls: []string{"nbo-a", "mba-a", "ksm-a"},
		Seeds:    []int{0, 1, 2},
		Entries:  []string{"nbo-a", "mba-a"},
		Losses:   1,
	}, r)
	if err != nil {
		r.Say("cannot lay out the deployment: %v", err)
		return stand.NotRun
	}
	defer site.Close()
	if err := site.Start(); err != nil {
		r.Say("cannot start: %v", err)
		return stand.NotRun
	}
	var servers []*stand.Server
	for _, zone := range []string{"nbo-a", "mba-a", "ksm-a"} {
		v, err := site.StartServer("svc", zone, 8, 20*time.Millisecond)
		if err != nil {
			r.Say("cannot start a server: %v", err)
			return stand.NotRun
		}
		defer v.Close()
		servers = append(servers, v)
	}
	status, _ := site.Order(site.Controls, "POST", "/Config.Patch", stand.Patch{Upsert: map[string]any{
		"routes":   stand.Routes("shop.example", "r1", [5]string{"r-order", "/order/", "unsafe", "2000ms", "svc"}),
		"tenants":  stand.Tenants("r1", 100, 100, "t1", "t2"),
		"services": stand.Services("r1", "svc"), "limits": stand.Limits("r1"),
	}}, 15*time.Second)
	if status != 200 || !site.WaitReady(10*time.Second) {
		r.Say("the deployment did not come up: %d", status)
		return stand.NotRun
	}
	time.Sleep(4 * time.Second)
	if n := ran(site, servers, "key-t1"); n != 2*attempts {
		r.Say("only %d of %d requests with a valid key run before the change", n, 2*attempts)
		return stand.NotRun
	}

	// The operator drops one tenant after the other. Without the disruption, t2 stays.
	names := []string{"t1"}
	if trouble {
		names = append(names, "t2")
	}
	for _, name := range names {
		status, _ = site.Order(site.Controls, "POST", "/Config.Patch", stand.Patch{
			Remove: map[string][]stand.Name{"tenants": {{Name: name, Version: "r5"}}},
		}, 2*stand.Ack)
		if status != 200 {
			r.Say("dropping %s is not acknowledged: %d", name, status)
			return stand.NotRun
		}
		r.Say("dropping %s, and its key, is acknowledged", name)
	}
	time.Sleep(stand.Revoke + time.Second)

	withdrawn, invented := ran(site, servers, "key-t1"), ran(site, servers, "key-never-held")
	r.Say("%v after the ack, of %d requests each: %d with the withdrawn key of t1 run, %d with a key that no desired state held",
		stand.Revoke+time.Second, 2*attempts, withdrawn, invented)
	if withdrawn+invented > 0 {
		r.Say("CONFIG (strictRevoke) and ROUTE are broken")
		return stand.Broken
	}
	return stand.Held
}

// ran sends requests with a key to each entry instance, and returns how many of them
// the servers ran.
func ran(site *stand.Site, servers []*stand.Server, key string) (n int) {
	sent := map[string]bool{}
	for _, e := range site.Entries {
		for range attempts {
			id := stand.NextID()
			sent[id] = true
			site.Send(context.Background(), e, stand.Request{ID: id, Method: "POST", Host: "shop.example", Path: "/order/" + id, Key: key, Limit: 4 * time.Second})
		}
	}
	for _, v := range servers {
		for _, x := range v.Runs() {
			if sent[x.ID] {
				n++
			}
		}
	}
	return n
}
