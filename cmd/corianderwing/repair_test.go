package main

import (
	"encoding/json"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/raft"
	"corianderwing/io/admin"
)

// meshedControls starts the control instances with links that can be cut, and a
// writer of changes, which ends with the returned function.
func meshedControls(t *testing.T) (*processes, mesh, *ledger, func()) {
	t.Helper()
	f := newProcesses(t)
	m := f.mesh()
	f.startControls()
	l := newLedger(f)
	return f, m, l, l.write()
}

// Guards against an acknowledged change that is lost, or a group that stops,
// when one control instance loses its disk and a second one dies right after
// the repair. A replica without its disk must not vote under its old identity,
// and not before it has the log.
func TestWipedDisk(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, m, l, endWrites := meshedControls(t)
	l.more(300) // more than a learner may lack when it becomes a voter
	leader := f.leads()
	wiped := f.Controls[slices.IndexFunc(f.Controls, func(c place) bool { return c.ID != leader })]
	f.kill(wiped.ID)
	is.NoErr(os.RemoveAll(wiped.Data))
	m.deaf(wiped.ID, true)
	f.serve(wiped.ID)

	// The others cannot send it the log, so it has to remain a learner.
	var fresh corianderwing.InstanceID
	f.eventually("a learner under a new identity", func() bool {
		s, ok := f.replica(f.leads(wiped.ID))
		i := slices.IndexFunc(s.Voters.Learners, func(id corianderwing.InstanceID) bool {
			return strings.HasPrefix(string(id), wiped.ID+".")
		})
		if !ok || i < 0 {
			return false
		}
		fresh = s.Voters.Learners[i]
		return !slices.Contains(s.Voters.Voters, corianderwing.InstanceID(wiped.ID))
	})
	l.more(100)
	s, ok := f.replica(f.leads(wiped.ID))
	is.True(ok)
	is.True(slices.Contains(s.Voters.Learners, fresh))
	is.Equal(len(s.Voters.Voters), 2)

	m.deaf(wiped.ID, false)
	f.eventually("the learner becomes a voter", func() bool {
		s, ok = f.replica(f.leads())
		return ok && slices.Contains(s.Voters.Voters, fresh)
	})
	is.Equal(len(s.Voters.Voters), 3)
	second := f.leads(wiped.ID)
	f.kill(second)
	l.more(100)
	endWrites()
	var live []int
	for i, c := range f.Controls {
		if c.ID != second {
			live = append(live, i)
		}
	}
	l.verify(live...)
	l.resend(10)
	t.Logf("%s came back as %s, then %s was killed; %d changes", wiped.ID, fresh, second, l.count())
}

// Guards against a read from a control instance that is cut off, a change
// that is lost or applied twice, and an instance whose return ends the term of
// the leader, first for the leader and then for a follower.
func TestCutOff(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, m, l, endWrites := meshedControls(t)
	l.more(50)
	for _, role := range []raft.Role{raft.Leader, raft.Follower} {
		id := f.leads()
		if role == raft.Follower {
			at := slices.IndexFunc(f.Controls, func(c place) bool { return c.ID != id })
			id = f.Controls[at].ID
		}
		before, ok := f.replica(id)
		is.True(ok)
		m.cut(id, true)
		refused := f.readOnce(id)
		leader := f.leads(id)
		l.more(50)
		refused += f.readOnce(id)
		during, ok := f.replica(leader)
		is.True(ok)
		alone, ok := f.replica(id)
		is.True(ok)
		is.True(alone.Role != raft.Leader)
		is.Equal(alone.Term, before.Term) // pre-vote: it raises no term on its own

		m.cut(id, false)
		f.follows(id)
		l.more(50)
		after, ok := f.replica(leader)
		is.True(ok)
		is.Equal(after.Role, raft.Leader)
		is.Equal(after.Term, during.Term)
		if role == raft.Follower {
			is.Equal(after.Term, before.Term)
		}
		t.Logf("%s (%s) was cut off in term %d; %s led in term %d before and after its return; %d reads refused", id, role, before.Term, leader, after.Term, refused)
	}
	endWrites()
	l.verify(0, 1, 2)
	l.resend(10)
}

// readOnce asks a control instance that is cut off for the tree, the keys, a
// watch and the status, at the same time. It fails if the instance answers
// with state, and returns the number of refusals.
func (f *processes) readOnce(id string) (refused int) {
	f.t.Helper()
	at := slices.IndexFunc(f.Controls, func(c place) bool { return c.ID == id })
	paths := []string{"/v1/tree/shop", "/v1/keys/shop", "/v1/watch", "/v1/status"}
	status := make([]int, len(paths))
	var known admin.Status
	var wg sync.WaitGroup
	for i, path := range paths {
		wg.Go(func() {
			client := http.Client{Timeout: patience}
			resp, err := client.Get("http://" + f.Controls[at].Admin + path)
			if err != nil {
				return
			}
			defer resp.Body.Close()
			status[i] = resp.StatusCode
			if path == "/v1/status" && json.NewDecoder(resp.Body).Decode(&known) != nil {
				status[i] = 0
			}
		})
	}
	wg.Wait()
	for i, path := range paths {
		switch {
		case status[i] == 0:
			f.t.Errorf("%s at %s got no answer", path, id)
		case status[i] != http.StatusOK:
			refused++
		case path != "/v1/status":
			f.t.Errorf("%s, which is cut off, answered %s", id, path)
		case len(known.Groups) != 1 || known.Groups[0].Leader != "":
			f.t.Errorf("%s, which is cut off, knows a leader: %+v", id, known)
		}
	}
	return refused
}
