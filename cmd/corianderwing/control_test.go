package main

import (
	"context"
	"slices"

	"corianderwing"
	"corianderwing/core/raft"
	"corianderwing/io/admin"
	"corianderwing/io/ctrl"
	"corianderwing/io/peer"
)

var shop = corianderwing.Path{Workspace: "shop"}

// operator returns a client of the operators' API that begins with the control
// instance first and, unless only is set, goes on to the others.
func (f *processes) operator(first int, only bool) *admin.Client {
	f.t.Helper()
	var addrs []string
	for i := range f.Controls {
		addrs = append(addrs, f.Controls[(first+i)%len(f.Controls)].Admin)
	}
	if only {
		addrs = addrs[:1]
	}
	c, err := admin.NewClient(addrs, admin.WithOperator("test"))
	if err != nil {
		f.t.Fatal(err)
	}
	return c
}

// replica returns the state of a control instance's replica as the instance
// itself reports it, and false if it does not answer.
func (f *processes) replica(id string) (ctrl.GroupStatus, bool) {
	pc := peer.NewClient([]byte("secret-of-the-process-tests"))
	defer pc.Close()
	ctx, cancel := context.WithTimeout(f.t.Context(), patience)
	defer cancel()
	at := slices.IndexFunc(f.Controls, func(p place) bool { return p.ID == id })
	s, err := ctrl.NewClient(pc, nil).Status(ctx, f.Controls[at].Peer)
	if err != nil || len(s.Groups) != 1 {
		return ctrl.GroupStatus{}, false
	}
	return s.Groups[0], true
}

// leads waits until a running control instance, other than those named,
// reports that it leads, and returns it.
func (f *processes) leads(except ...string) string {
	f.t.Helper()
	leader := ""
	f.eventually("a leader", func() bool {
		for _, c := range f.Controls {
			if f.running[c.ID] == nil || slices.Contains(except, c.ID) {
				continue
			}
			if s, ok := f.replica(c.ID); ok && s.Role == raft.Leader {
				leader = c.ID
				return true
			}
		}
		return false
	})
	return leader
}

// follows waits until a replica follows another one that leads in the same
// term, and has applied all that this one has committed.
func (f *processes) follows(id string) {
	f.t.Helper()
	f.eventually(id+" follows a leader", func() bool {
		s, ok := f.replica(id)
		if !ok || s.Role != raft.Follower {
			return false
		}
		for _, c := range f.Controls {
			if c.ID == id || f.running[c.ID] == nil {
				continue
			}
			l, ok := f.replica(c.ID)
			if ok && l.Role == raft.Leader && l.Self == s.Leader && l.Term == s.Term && s.Applied >= l.Commit {
				return true
			}
		}
		return false
	})
}

// seeded waits until the group has applied the tree of the settings file, and
// returns its revision.
func (f *processes) seeded() corianderwing.Revision {
	f.t.Helper()
	var at corianderwing.Revision
	f.eventually("the seed is applied", func() bool {
		ctx, cancel := context.WithTimeout(f.t.Context(), patience)
		defer cancel()
		keys, err := f.operator(0, false).Keys(ctx, shop.Workspace)
		at = keys.Revision
		return err == nil && len(keys.Keys) == 1 // the seed's last command
	})
	return at
}
