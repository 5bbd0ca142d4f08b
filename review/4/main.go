// Command 4 shows that routes that gain home regions still run elsewhere at an entry
// instance that is cut off from the control instances.
package main

import (
	"context"
	"time"

	"corianderwing/io/soak"
	"corianderwing/review/stand"
)

const (
	// Requests are sent this long after the ack: with a key after the bound for a change
	// of the desired state, without one while clients may still keep an answer of the
	// directory from before the cut (three times its ttl of 2 s).
	keyedAfter = stand.ConfigApply + 100*time.Millisecond
	openAfter  = 5 * time.Second
	attempts   = 10
)

func main() { stand.Main(run) }

func run(r *stand.Record, trouble bool) int {
	zones := []stand.Zone{{Name: "nbo-a", Region: "nairobi"}, {Name: "mba-a", Region: "mombasa"}, {Name: "ksm-a", Region: "kisumu"}}
	names := []string{"nbo-a", "mba-a", "ksm-a"}
	site, err := stand.New(stand.Options{Zones: zones, Controls: names, Seeds: []int{0, 1, 2}, Entries: names, Losses: 1}, r)
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
	for _, zone := range append(names, names...) {
		v, err := site.StartServer("svc", zone, 8, 20*time.Millisecond)
		if err != nil {
			r.Say("cannot start a server: %v", err)
			return stand.NotRun
		}
		defer v.Close()
		servers = append(servers, v)
	}
	status, _ := site.Order(site.Controls, "POST", "/Config.Patch", stand.Patch{Upsert: map[string]any{
		"routes":   routes("r1", []string{}),
		"tenants":  stand.Tenants("r1", 100, 100, "t1"),
		"services": stand.Services("r1", "svc"), "limits": stand.Limits("r1"),
	}}, 15*time.Second)
	if status != 200 || !site.WaitReady(10*time.Second) {
		r.Say("the deployment did not come up: %d", status)
		return stand.NotRun
	}
	time.Sleep(4 * time.Second)

	cut := site.Entries[1] // in mombasa
	if trouble {
		setCut(site, cut, true)
		r.Say("%s is cut off from all control instances", cut.Name)
	}
	time.Sleep(100 * time.Millisecond)
	status, _ = site.Order(site.Controls, "POST", "/Config.Patch", stand.Patch{Upsert: map[string]any{
		"routes": routes("r5", []string{"nairobi"}),
	}}, 2*stand.Ack)
	if status != 200 {
		r.Say("the change is not acknowledged: %d", status)
		return stand.NotRun
	}
	acked := time.Now()
	r.Say("both routes have their home in nairobi, acknowledged")

	abroad := 0
	for _, x := range []struct {
		path, key string
		after     time.Duration
	}{{"/keyed/", "key-t1", keyedAfter}, {"/open/", "", openAfter}} {
		time.Sleep(time.Until(acked.Add(x.after)))
		n := runAbroad(site, cut, servers, x.path, x.key)
		r.Say("of %d requests for %s sent %v after the ack, %d reached servers outside nairobi", attempts, x.path, x.after, n)
		abroad += n
	}
	setCut(site, cut, false)
	if abroad > 0 {
		r.Say("HOME is broken")
		return stand.Broken
	}
	return stand.Held
}

// setCut cuts an entry instance off from all control instances, or joins it again.
func setCut(site *stand.Site, entry *stand.Node, on bool) {
	for _, n := range site.Controls {
		site.Proxy.Set(entry.Name, n.Name, soak.Fault{Silent: on})
		site.Proxy.Set(n.Name, entry.Name, soak.Fault{Silent: on})
	}
}

// runAbroad sends requests to an entry instance and returns how many reached servers
// outside nairobi.
func runAbroad(site *stand.Site, entry *stand.Node, servers []*stand.Server, path, key string) (n int) {
	sent := map[string]bool{}
	for range attempts {
		id := stand.NextID()
		sent[id] = true
		site.Send(context.Background(), entry, stand.Request{ID: id, Method: "GET", Host: "shop.example", Path: path + id, Key: key, Limit: 4 * time.Second})
	}
	for _, v := range servers {
		for _, x := range v.Arrivals() {
			if sent[x.ID] && v.Zone != "nbo-a" {
				n++
			}
		}
	}
	return n
}

// routes returns the table with a public route and one that needs a key.
func routes(version string, homes []string) stand.Table {
	const public, homeRegions = 9, 11 // columns
	t := stand.Routes("shop.example", version,
		[5]string{"r-open", "/open/", "safe", "2000ms", "svc"}, [5]string{"r-keyed", "/keyed/", "safe", "2000ms", "svc"})
	t.Rows[0][public] = true
	for _, row := range t.Rows {
		row[homeRegions] = homes
	}
	return t
}
