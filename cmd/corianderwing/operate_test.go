package main

import (
	"syscall"
	"testing"
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
