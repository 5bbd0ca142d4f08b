package raft

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"corianderwing"
)

const (
	faultTime     = 20 * time.Second // virtual time during which faults are injected
	healTime      = 20 * time.Second // virtual time within which the group must recover
	clientTimeout = 1500 * time.Millisecond
)

// operation is the input of a read or an append of one key.
type operation struct {
	read  bool
	value string
}

// appendList models a list per key. A read returns the whole list; an append
// returns the resulting list.
var appendList = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		list, op := state.(string), in.(operation)
		if op.read {
			return list == out.(string), list
		}
		return list+op.value == out.(string), list + op.value
	},
}

// workload holds the clients of a run and the history of their operations.
type workload struct {
	s                *sim
	keys             [2][]porcupine.Operation
	next             int
	maxFaultInterval time.Duration // maximum time between two faults
	ended            bool
}

// client runs one operation after another until the workload ends.
func (w *workload) client(id int) {
	if w.ended {
		return
	}
	w.s.after(w.s.randomDuration(150*time.Millisecond), func() {
		w.operate(id, w.s.rng.IntN(2) == 0, func(bool) { w.client(id) })
	})
}

// operate sends a read or an append to the presumed leader or to a random replica.
func (w *workload) operate(id int, read bool, then func(ok bool)) {
	s := w.s
	r := s.replicas[s.rng.IntN(len(s.replicas))]
	if lead := s.leader(); lead != nil && s.rng.IntN(3) > 0 {
		r = lead
	}
	if r.node == nil {
		then(false)
		return
	}
	start, key, ended := s.now, s.rng.IntN(2), false
	w.next++
	value := strconv.Itoa(w.next) + ","
	call := r.call(func(out string, ok, known bool) {
		if ended {
			return
		}
		ended = true
		s.log("client %d: read %v of %s at %s: %q ok %v known %v", id, read, value, r.id, out, ok, known)
		switch {
		case ok && read:
			for k, list := range strings.Split(out, "|") {
				w.record(k, id, operation{read: true}, start, list, s.now)
			}
		case ok:
			w.record(key, id, operation{value: value}, start, "", s.now)
		case !read && !known:
			w.record(key, id, operation{value: value}, start, "", time.Time{})
		}
		then(ok)
	})
	s.after(clientTimeout, func() { r.reply(call, "", false, false) })
	if read {
		r.deliver(ReadIndex{[]uint64{call}})
		return
	}
	r.deliver(Propose{[]Proposal{{call, []byte(strconv.Itoa(key) + strings.TrimSuffix(value, ","))}}})
}

// record adds an operation to the history. One without an end may take effect at
// any time.
func (w *workload) record(key, id int, op operation, start time.Time, out string, end time.Time) {
	o := porcupine.Operation{ClientId: id, Input: op, Call: start.Sub(epoch).Nanoseconds(), Output: out, Return: math.MaxInt64}
	if !end.IsZero() {
		o.Return = end.Sub(epoch).Nanoseconds()
	}
	w.keys[key] = append(w.keys[key], o)
}

// injectFaults injects one random fault and schedules the next.
func (w *workload) injectFaults() {
	if w.ended {
		return
	}
	s := w.s
	r := s.replicas[s.rng.IntN(len(s.replicas))]
	if s.rng.IntN(2) == 0 && s.leader() != nil {
		r = s.leader()
	}
	switch s.rng.IntN(10) {
	case 0, 1:
		r.crash()
		s.after(s.downtime(), r.revive)
	case 2, 3:
		s.partition(r, s.rng.IntN(2) == 0)
	case 4:
		clear(s.cut)
	case 5, 6:
		s.log("%s is paused", r.id)
		if until := s.now.Add(s.randomDuration(4 * time.Second)); until.After(r.busyUntil) {
			r.busyUntil = until
		}
	case 7:
		s.loss, s.duplication = 0.3*s.rng.Float64(), 0.2*s.rng.Float64()
		s.delay = s.randomDuration(80 * time.Millisecond)
	case 8:
		s.loseDisk(r)
	case 9:
		if r.node != nil {
			r.deliver(TransferLeadership{ID: r.call(func(string, bool, bool) {})})
		}
	}
	s.after(s.randomDuration(w.maxFaultInterval), w.injectFaults)
}

// partition disconnects links of one replica: all of them, some of them, or only
// one direction.
func (s *sim) partition(r *replica, total bool) {
	out, in := s.rng.IntN(2) == 0, s.rng.IntN(2) == 0
	for _, other := range s.replicas {
		if total || s.rng.IntN(2) == 0 {
			s.cut[[2]corianderwing.InstanceID{r.id, other.id}] = total || out
			s.cut[[2]corianderwing.InstanceID{other.id, r.id}] = total || in
		}
	}
	s.log("%s is partitioned: total %v, outbound %v, inbound %v", r.id, total, out, in)
}

// loseDisk replaces a replica by an empty one with a new identity, as long as the
// group can tolerate the loss of another disk.
func (s *sim) loseDisk(r *replica) {
	lead := s.leader()
	if lead == nil || r.lost || len(s.replicas) > 8 {
		return
	}
	for _, other := range s.replicas {
		if other.lost && slices.ContainsFunc(s.replicas, func(x *replica) bool { return x.node != nil && isVoter(x.node.memberships.current(), other.id) }) {
			return
		}
		if other.node != nil && len(other.node.memberships.current().Voters) < 3 || other.node == nil && !other.lost {
			return
		}
	}
	s.log("%s loses its disk", r.id)
	r.crash()
	if s.disabled.reuseIdentity {
		r.disk = corianderwing.StoredState{}
		s.after(s.downtime(), r.revive)
		return
	}
	r.lost = true
	s.add(corianderwing.InstanceID(fmt.Sprintf("%s.%d", r.id[:1], len(s.replicas))))
}

// changeMembership periodically requests the next necessary membership change from
// the leader, or a random one.
func (s *sim) changeMembership() {
	s.after(300*time.Millisecond, s.changeMembership)
	r := s.leader()
	if r == nil {
		return
	}
	v := r.node.memberships.current()
	var c MembershipChange
	for _, other := range s.replicas {
		known := slices.Contains(members(v), other.id)
		switch {
		case other.lost && known && len(v.Voters) > 1:
			c = MembershipChange{Remove, other.id}
		case !other.lost && !known:
			c = MembershipChange{AddLearner, other.id}
		case !other.lost && slices.Contains(v.Learners, other.id):
			c = MembershipChange{Promote, other.id}
		case len(v.Voters) > 3 && s.crashes > 0 && s.rng.IntN(30) == 0:
			c = MembershipChange{Remove, other.id}
		default:
			continue
		}
		break
	}
	if c.Op != "" {
		r.deliver(ChangeMembership{r.call(func(string, bool, bool) {}), c})
	}
}

// heal ends all faults and restarts the replicas that are down.
func (s *sim) heal() {
	s.log("all faults end")
	clear(s.cut)
	s.loss, s.duplication, s.crashes, s.delay = 0, 0, 0, 5*time.Millisecond
	for _, r := range s.replicas {
		r.revive()
	}
}

// converged reports whether all running members have applied the leader's whole
// log and hold the same state.
func (s *sim) converged() bool {
	lead := s.leader()
	if lead == nil || lead.applied != lead.node.log.lastIndex() {
		return false
	}
	for _, id := range members(lead.node.memberships.current()) {
		if r := s.find(id); !r.lost && (r.node == nil || r.applied != lead.applied || r.state != lead.state) {
			return false
		}
	}
	return true
}

// runSeed simulates one seed and returns the fault that was found, or "", and the
// simulation.
func runSeed(seed uint64, off disabledMechanisms, tracing bool) (string, *sim) {
	s := newSim(seed, 3+int(seed%3), off, tracing)
	s.crashes = 0.01
	w := &workload{s: s, maxFaultInterval: 400 * time.Millisecond << (seed % 4)}
	for id := range 3 {
		w.client(id)
	}
	s.after(time.Second, w.injectFaults)
	s.changeMembership()
	s.run(faultTime, nil)
	w.ended = true
	s.heal()
	final := false
	var last func(bool)
	last = func(ok bool) {
		if final = ok; !ok {
			s.after(100*time.Millisecond, func() { w.operate(9, true, last) })
		}
	}
	s.after(clientTimeout, func() { last(false) })
	works := s.run(healTime, func() bool { return final && s.converged() })
	if s.fault == "" && !works {
		for _, r := range s.replicas {
			if r.node != nil {
				s.log("%s: commit %d, last (%d, %d), memberships %v", r.id, r.node.commit, r.node.log.lastIndex(), r.node.log.lastTerm(), r.node.memberships.records)
			}
		}
		s.fail("the group has not recovered %v after the last fault", healTime)
	}
	if s.fault == "" {
		w.check()
	}
	return s.fault, s
}

// check detects acknowledged values that are lost and histories that are not
// linearizable. The final lists determine the result of each append; an
// unacknowledged append that is not in them never took effect.
func (w *workload) check() {
	final := w.s.leader().state
	for key, list := range w.keys {
		history := list[:0]
		for _, o := range list {
			op := o.Input.(operation)
			at := strings.Index(","+final[key], ","+op.value)
			switch {
			case op.read:
			case at >= 0:
				o.Output = final[key][:at] + op.value
			case o.Return == math.MaxInt64:
				continue
			default:
				w.s.fail("acknowledged value %s is lost", op.value)
				return
			}
			history = append(history, o)
		}
		if r := porcupine.CheckOperationsTimeout(appendList, history, time.Minute); r != porcupine.Ok {
			w.s.fail("the history of key %d is not linearizable (%s)", key, r)
		}
	}
}

// envUint reads a number from an environment variable, or returns the given default.
func envUint(t *testing.T, name string, value uint64) uint64 {
	text := os.Getenv(name)
	if text == "" {
		return value
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return v
}

// findFailingSeed runs seeds until one fails, and returns the lowest failing seed
// and its fault.
func findFailingSeed(first, count uint64, off disabledMechanisms) (uint64, string) {
	var mu sync.Mutex
	var next atomic.Uint64
	var wg sync.WaitGroup
	seed, fault := uint64(math.MaxUint64), ""
	for range 4 { // half the cores that the tests of one package may use
		wg.Go(func() {
			for {
				k := first + next.Add(1) - 1
				mu.Lock()
				stop := k >= first+count || k > seed
				mu.Unlock()
				if stop {
					return
				}
				if what, _ := runSeed(k, off, false); what != "" {
					mu.Lock()
					if k < seed {
						seed, fault = k, what
					}
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return seed, fault
}

// Guards against two leaders in a term, lost or reordered committed entries,
// stale reads, and a group that does not recover, under message loss, delay,
// duplication and reordering, partitions, process pauses, clock drift, crashes
// during disk writes, lost disks, and membership changes.
//
// CORIANDER_SEEDS sets the number of seeds; CORIANDER_SEED replays one.
func TestRandomFaults(t *testing.T) {
	count := envUint(t, "CORIANDER_SEEDS", 1000)
	first := envUint(t, "CORIANDER_SEED", 0)
	if first > 0 {
		count = 1
	}
	seed, fault := findFailingSeed(max(first, 1), count, disabledMechanisms{})
	if fault == "" {
		return
	}
	_, s := runSeed(seed, disabledMechanisms{}, true)
	t.Fatalf("seed %d: %s\n%s", seed, fault, strings.Join(s.trace, "\n"))
}
