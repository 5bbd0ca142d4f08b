// Command 1 shows that an acknowledged desired state is lost for good when two disks at
// a time are lost, each time after the machines of the loss before have caught up.
package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"corianderwing/review/stand"
)

const (
	// down is how long a process is down after its disk was lost.
	down = 100 * time.Millisecond
	// wait is the time from the return of two machines to the next loss: catchUp of the
	// site is 4 s.
	wait = 4050 * time.Millisecond
	// rounds is how often two disks are lost.
	rounds = 10
	// reading is how long the operator reads back after everything is back:
	// twice the bound for recovery.
	reading = 2 * stand.Recovery
)

func main() { stand.Main(run) }

func run(r *stand.Record, trouble bool) int {
	zones := []stand.Zone{
		{Name: "nbo-a", Region: "nairobi"}, {Name: "mba-a", Region: "mombasa"}, {Name: "ksm-a", Region: "kisumu"},
		{Name: "nbo-b", Region: "nairobi"}, {Name: "mba-b", Region: "mombasa"}, {Name: "ksm-b", Region: "kisumu"},
	}
	site, err := stand.New(stand.Options{
		Zones:       zones,
		Controls:    []string{"nbo-a", "mba-a", "ksm-a", "nbo-b", "mba-b", "ksm-b"},
		Seeds:       []int{0, 1, 2},
		Entries:     []string{"nbo-a", "mba-a"},
		Losses:      2,
		RegionDelay: 35 * time.Millisecond,
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
	status, _ := site.Order(site.Controls, "POST", "/Config.Patch", stand.Patch{Upsert: map[string]any{
		"routes":  stand.Routes("shop.example", "r1", [5]string{"r-a", "/a/", "safe", "2000ms", "svc"}),
		"tenants": stand.Tenants("r1", 100, 100, "t1"), "services": stand.Services("r1", "svc"), "limits": stand.Limits("r1"),
	}}, 15*time.Second)
	if status != 200 {
		r.Say("the first desired state is not acknowledged: %d", status)
		return stand.NotRun
	}
	time.Sleep(8 * time.Second) // the other control instances join and vote

	acked := "r1"
	lostIn := map[*stand.Node]int{} // the round in which a disk was lost; 0 if it was not
	for round := range rounds {
		back := time.Now() // of the machines of the round before
		version := fmt.Sprintf("r%d", round+5)
		status, _ := site.Order(site.Controls, "POST", "/Config.Patch", stand.Patch{Upsert: map[string]any{
			"routes": stand.Routes("shop.example", version, [5]string{"r-a", "/a/", "safe", "2000ms", "svc"}),
		}}, stand.Ack)
		if status != 200 {
			r.Say("the change to %s gets no ack within %v, although all machines are back: status %d", version, stand.Ack, status)
			break
		}
		acked = version
		r.Say("the change to %s is acknowledged", version)
		time.Sleep(time.Until(back.Add(wait)))
		if trouble {
			pair := next(site, lostIn)
			for _, n := range pair {
				lostIn[n] = round + 1
			}
			for _, n := range pair {
				n.Kill()
				n.Wipe()
			}
			time.Sleep(down)
			for _, n := range pair {
				if err := n.Start(); err != nil {
					r.Say("cannot start: %v", err)
					return stand.NotRun
				}
			}
		}
	}
	return readBack(r, site, acked)
}

// next returns the two control instances that lose their disks next: the leader, and the
// one of another region whose disk has lasted longest.
func next(site *stand.Site, lostIn map[*stand.Node]int) (pair []*stand.Node) {
	for _, n := range site.Controls {
		if n.Leads() && (pair == nil || lostIn[n] < lostIn[pair[0]]) {
			pair = []*stand.Node{n}
		}
	}
	if pair == nil {
		pair = []*stand.Node{site.Controls[0]}
	}
	var second *stand.Node
	for _, n := range site.Controls {
		if n.Zone.Region != pair[0].Zone.Region && (second == nil || lostIn[n] < lostIn[second]) {
			second = n
		}
	}
	return append(pair, second)
}

// readBack reads the desired state back, as the operator does at the end of a day.
func readBack(r *stand.Record, site *stand.Site, acked string) int {
	begin := time.Now()
	for i := 0; time.Since(begin) < reading; i++ {
		status, answer := site.Call(site.Controls[i%len(site.Controls)], "GET", "/Config.Get", nil)
		if status != 200 {
			continue
		}
		if holds(answer, "r-a", acked) {
			r.Say("read back after %.1f s: %s is there", time.Since(begin).Seconds(), acked)
			return stand.Held
		}
		r.Say("LOST: read back after %.1f s, %s is not there: %s", time.Since(begin).Seconds(), acked, answer)
		return stand.Broken
	}
	r.Say("LOST: no control instance has answered Config.Get for %v; %s was acknowledged", reading, acked)
	return stand.Broken
}

// holds reports whether the desired state holds a route of a version.
func holds(answer []byte, name, version string) bool {
	var set struct{ Routes stand.Table }
	if json.Unmarshal(answer, &set) != nil {
		return false
	}
	for _, row := range set.Routes.Rows {
		line, err := json.Marshal(row)
		if err == nil && strings.Contains(string(line), `"`+name+`"`) && strings.Contains(string(line), `"`+version+`"`) {
			return true
		}
	}
	return false
}
