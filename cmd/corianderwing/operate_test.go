package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/io/admin"
)

// Guards against an acknowledged change that is lost or applied twice, a
// stale read, and a resumed leader that does not step down, when the leader is
// frozen under a stream of changes.
func TestFreezeLeader(t *testing.T) {
	t.Parallel()
	f := newProcesses(t)
	f.startControls()
	l := newLedger(f)
	endReads := l.read(t)
	endWrites := l.write()
	l.more(50)
	old := f.leads()
	before := l.count()
	f.signal(old, syscall.SIGSTOP)
	l.more(50)
	next := f.leads(old)
	l.more(50)
	during := l.count()
	f.signal(old, syscall.SIGCONT)
	l.more(50)
	endWrites()
	reads := endReads()
	f.follows(old)
	l.verify(0, 1, 2)
	l.resend(10)
	t.Logf("%s was frozen, %s took over; %d changes before, %d while frozen, %d in all; %d reads", old, next, before, during-before, l.count(), reads)
}

// Guards against two operators whose changes from the same revision both
// apply, a loser that does not learn the current revision, and a resent
// change that gets another answer than its first one.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newProcesses(t)
	f.startControls()
	base := f.seeded()
	path := corianderwing.Path{Workspace: shop.Workspace, Service: pool}
	const rounds = 25
	wins := make([]int, 3)
	for round := range rounds {
		var changes []admin.SetNode
		for who := range wins {
			slow := corianderwing.Millis(100*round + who + 1)
			changes = append(changes, admin.SetNode{
				Change:   admin.Change{Base: &base, Request: corianderwing.RequestID(fmt.Sprintf("race-%d-%d", round, who))},
				Path:     path,
				Settings: &corianderwing.Settings{Slow: &slow},
			})
		}
		winner, done := race(t, f, changes)
		wins[winner]++
		is.Equal(done.Revision, base+1)
		for who := range wins {
			again, err := set(f, who+1, changes[who])
			if who != winner {
				is.Equal(conflictAt(err), base+1)
				continue
			}
			is.NoErr(err)
			is.True(again.Duplicate)
			is.Equal(again.Revision, done.Revision)
		}
		n, err := f.operator(round, true).Node(t.Context(), "", path)
		is.NoErr(err)
		is.Equal(n.Revision, base+1)
		is.Equal(*n.Settings.Slow, *changes[winner].Settings.Slow)
		base = done.Revision
	}
	t.Logf("%d rounds, won by operators %v", rounds, wins)
}

// race sends the changes at the same time, each to another control instance,
// and returns the one that won.
func race(t *testing.T, f *processes, changes []admin.SetNode) (winner int, done admin.Accepted) {
	t.Helper()
	answers := make([]admin.Accepted, len(changes))
	errs := make([]error, len(changes))
	var wg sync.WaitGroup
	for who, c := range changes {
		wg.Go(func() { answers[who], errs[who] = set(f, who, c) })
	}
	wg.Wait()
	winner = slices.Index(errs, nil)
	if winner < 0 {
		t.Fatalf("nobody won: %v", errs)
	}
	for who, err := range errs {
		if who != winner && conflictAt(err) != answers[winner].Revision {
			t.Fatalf("operator %d lost to revision %d with %v", who, answers[winner].Revision, err)
		}
	}
	return winner, answers[winner]
}

func set(f *processes, at int, s admin.SetNode) (admin.Accepted, error) {
	ctx, cancel := context.WithTimeout(f.t.Context(), patience)
	defer cancel()
	return f.operator(at, false).Set(ctx, s)
}

// conflictAt returns the current revision that a conflict names, or 0.
func conflictAt(err error) corianderwing.Revision {
	var e *corianderwing.Error
	if !errors.As(err, &e) || e.Code != corianderwing.RevisionConflict {
		return 0
	}
	return e.Revision
}

// Guards against an acknowledged change, or the answer to one, that a crash of
// every process at once loses. Changes are in flight when it happens.
func TestKillAll(t *testing.T) {
	t.Parallel()
	f := newProcesses(t)
	f.startAll()
	f.ready()
	l := newLedger(f)
	endWrites := l.write()
	l.more(500)
	before := l.count()
	for id := range maps.Clone(f.running) {
		f.kill(id)
	}
	f.startAll()
	l.more(50)
	endWrites()
	f.ready()
	l.verify(0, 1, 2)
	l.resend(1)
	l.verify(0, 1, 2)
	t.Logf("%d changes before the crash, %d in all, every one sent again", before, l.count())
}
