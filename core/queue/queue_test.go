package queue

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"corianderwing"
)

// A fixed seed makes every run check the same cases.
func init() { flag.Set("rapid.seed", "1") }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func item(id uint64, ws string, c corianderwing.Class) Item {
	return Item{
		ID:           id,
		Workspace:    corianderwing.WorkspaceID(ws),
		Class:        c,
		Deadline:     epoch.Add(time.Hour),
		WaitDeadline: epoch.Add(time.Hour),
	}
}

func (q *Queue) pop(t interface{ Fatalf(string, ...any) }) uint64 {
	out := q.Update(Event{Kind: SlotsFreed, FreeSlots: 1}, epoch)
	if len(out) != 1 || out[0].Code != corianderwing.OK {
		t.Fatalf("no request started: %v", out)
	}
	return out[0].ID
}

// Guards against a workspace that delays others with its backlog, and against
// urgent requests that wait behind others.
func TestFairness(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	id := uint64(0)
	add := func(ws string, c corianderwing.Class, n int) {
		for range n {
			id++
			is.Equal(len(q.Update(Event{Kind: Arrive, Item: item(id, ws, c)}, epoch)), 0)
		}
	}
	add("big", corianderwing.Bulk, 1)     // 1
	add("big", corianderwing.Normal, 100) // 2 to 101
	add("small", corianderwing.Normal, 2) // 102, 103
	add("small", corianderwing.Urgent, 1) // 104
	var got []uint64
	for range 6 {
		got = append(got, q.pop(t))
	}
	is.Equal(got, []uint64{104, 2, 102, 3, 103, 4})
	for range 97 {
		q.pop(t)
	}
	is.Equal(q.pop(t), uint64(1))
	is.Equal(q.Len(), 0)
}

// Guards against requests that are queued although they cannot meet their
// deadline, and against an estimate that rejects everything forever.
func TestDeadlines(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	q.Update(Event{Kind: Finish, HoldTime: time.Second}, epoch)
	it := item(1, "a", corianderwing.Normal)
	it.Deadline = epoch.Add(100 * time.Millisecond)
	is.Equal(len(q.Update(Event{Kind: Arrive, Item: it, PoolSlots: 2}, epoch)), 0) // no request ahead
	it.ID = 2
	is.Equal(q.Update(Event{Kind: Arrive, Item: it, PoolSlots: 2}, epoch), []Effect{{2, corianderwing.DeadlineUnreachable}})
	it.Deadline = epoch
	is.Equal(q.Update(Event{Kind: Arrive, Item: it, PoolSlots: 2}, epoch), []Effect{{2, corianderwing.DeadlineUnreachable}})
	it = item(3, "a", corianderwing.Urgent)
	it.WaitDeadline = epoch.Add(50 * time.Millisecond)
	is.Equal(len(q.Update(Event{Kind: Arrive, Item: it, PoolSlots: 2}, epoch)), 0)
	is.Equal(q.Update(Event{Kind: Tick}, epoch.Add(50*time.Millisecond)), []Effect{{3, corianderwing.NoCapacity}})
	is.Equal(q.Update(Event{Kind: SlotsFreed, FreeSlots: 9}, epoch.Add(time.Second)), []Effect{{1, corianderwing.DeadlineUnreachable}})
}

// Guards, in random runs, against a queue over its bounds, a request that is
// lost or completed twice, a workspace that keeps others out of the queue, an
// urgent request that waits behind others, and a workspace that is served
// twice while another one of the same class waits.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{MaxWaiting: 12, MaxPerWorkspace: 8}
		q := New(cfg)
		model := make(map[uint64]Item)
		turns := make(map[[2]string]int) // times a flow was served while another one waited
		take := func(out []Effect) {
			for _, e := range out {
				it, ok := model[e.ID]
				if !ok {
					t.Fatalf("request %d completed twice", e.ID)
				}
				delete(model, e.ID)
				forgetFlow(turns, model, it)
			}
		}
		for id := range uint64(rapid.IntRange(1, 200).Draw(t, "events")) {
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1, 2:
				ws := fmt.Sprint("w", rapid.IntRange(0, 3).Draw(t, "workspace"))
				c := rapid.SampledFrom([]corianderwing.Class{corianderwing.Urgent, corianderwing.Normal, corianderwing.Bulk}).Draw(t, "class")
				it := item(id, ws, c)
				before := q.Waiting(it.Workspace)
				model[id] = it
				out := q.Update(Event{Kind: Arrive, Item: it}, epoch)
				for _, e := range out {
					if e.ID == id && before == 0 {
						t.Fatalf("%s was rejected by a queue that others filled", ws)
					}
				}
				take(out)
			case 3:
				for k := range id {
					if _, ok := model[k]; ok {
						take(append(q.Update(Event{Kind: Cancel, Item: Item{ID: k}}, epoch), Effect{ID: k}))
						break
					}
				}
			case 4:
				if len(model) == 0 {
					continue
				}
				it := model[q.pop(t)]
				checkFairness(t, turns, model, it)
				take([]Effect{{ID: it.ID}})
			}
			if q.Len() != len(model) || q.Len() > cfg.MaxWaiting {
				t.Fatalf("queue holds %d requests, model %d", q.Len(), len(model))
			}
			for w := range q.waiting {
				if q.Waiting(w) > cfg.MaxPerWorkspace {
					t.Fatalf("%s has %d waiting", w, q.Waiting(w))
				}
			}
		}
	})
}

// flowOf returns the name of a flow, which is the requests of one workspace
// and class.
func flowOf(it Item) string { return string(it.Workspace) + "/" + string(it.Class) }

// checkFairness fails the test if the request must not start yet.
func checkFairness(t *rapid.T, turns map[[2]string]int, model map[uint64]Item, it Item) {
	seen := make(map[string]bool)
	for _, x := range model {
		if classIndex(x.Class) < classIndex(it.Class) {
			t.Fatalf("%s request started before an %s one", it.Class, x.Class)
		}
		pair := [2]string{flowOf(it), flowOf(x)}
		if x.Class != it.Class || pair[0] == pair[1] || seen[pair[1]] {
			continue
		}
		seen[pair[1]] = true
		turns[pair]++
		delete(turns, [2]string{pair[1], pair[0]})
		if turns[pair] > 1 {
			t.Fatalf("%s was served %d times while %s waited", pair[0], turns[pair], pair[1])
		}
	}
}

// forgetFlow deletes the counts of a flow without waiting requests.
func forgetFlow(turns map[[2]string]int, model map[uint64]Item, it Item) {
	for _, x := range model {
		if flowOf(x) == flowOf(it) {
			return
		}
	}
	for pair := range turns {
		if pair[1] == flowOf(it) {
			delete(turns, pair)
		}
	}
}
