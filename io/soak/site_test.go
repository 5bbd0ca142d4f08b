package soak

import (
	"os/exec"
	"sync"
	"testing"

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
