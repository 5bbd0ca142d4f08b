package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a site that cannot listen on its own addresses: a process that is
// being started has a copy of each open socket until its program runs, so an
// address that was tested and closed may still be in use.
func TestSiteBesideStartingProcesses(t *testing.T) {
	is := is.New(t)
	done := make(chan struct{})
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
					exec.Command("true").Run()
				}
			}
		})
	}
	defer wg.Wait()
	defer close(done)
	for range 100 {
		s, err := NewSite("", t.TempDir(), 3, 1)
		is.NoErr(err)
		s.Close()
	}
}

// Guards against a process that answers a planned stop with an error, or that another
// signal ends in one, and that nobody notices. The other signal is none that nohup ignores.
func TestEndOfPlannedStop(t *testing.T) {
	for name, x := range map[string]struct {
		onTerm  string
		signals []syscall.Signal
		broken  bool
	}{
		"ends well":           {"exit 0", []syscall.Signal{syscall.SIGTERM}, false},
		"fails":               {"exit 3", []syscall.Signal{syscall.SIGTERM}, true},
		"ended by a signal":   {":", []syscall.Signal{syscall.SIGTERM, syscall.SIGUSR2}, true},
		"killed":              {":", []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}, false},
		"ends by itself well": {":", []syscall.Signal{syscall.SIGUSR1}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			program := filepath.Join(dir, "program")
			script := "#!/bin/sh\ntrap '" + x.onTerm + "' TERM\ntrap 'exit 0' USR1\n: >" + dir + "/ready\nwhile :; do sleep 0.01; done\n"
			is.NoErr(os.WriteFile(program, []byte(script), 0o755))
			s, err := NewSite(program, dir, 1, 0)
			is.NoErr(err)
			defer s.Close()
			broken := false
			s.Ended = func(*Proc, error) { broken = true }
			p := s.Procs[0]
			is.NoErr(p.Start())
			for ready := false; !ready; time.Sleep(time.Millisecond) {
				_, err := os.Stat(filepath.Join(dir, "ready"))
				ready = err == nil
			}
			for _, sig := range x.signals {
				is.NoErr(p.Signal(sig))
			}
			select {
			case <-p.Exited():
			case <-time.After(time.Minute):
				t.Fatal("not within 1m0s: the process ends")
			}
			is.Equal(broken, x.broken)
		})
	}
}
