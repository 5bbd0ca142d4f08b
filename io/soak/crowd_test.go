package soak

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against crowds that are not the same for the same seed, or that are refused for
// another reason than their number: their requests are legal.
func TestCrowds(t *testing.T) {
	is := is.New(t)
	r := &run{cfg: Config{Seed: 7}}
	steps := planCrowds(r.random("crowds"), time.Minute)
	is.Equal(steps, planCrowds(r.random("crowds"), time.Minute))
	is.Equal(len(steps), 3)
	for _, kind := range []Kind{Bodies, Heads} {
		text := crowdText(http.Header{"X-Id": {"a"}}, kind)
		q, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
		is.NoErr(err)
		is.Equal(q.Header.Get("X-Id"), "a")
		body, err := io.ReadAll(q.Body)
		is.Equal(err, io.ErrUnexpectedEOF)
		is.True(len(text)-len(body) < 16<<10)
	}
}

// Guards against a peak that is read wrongly, which would let any process pass.
func TestPeakOfStatus(t *testing.T) {
	is := is.New(t)
	mb, ok := parsePeak([]byte("VmPeak:\t  900000 kB\nVmHWM:\t   66560 kB\n"))
	is.True(ok)
	is.Equal(mb, 65)
	_, ok = parsePeak([]byte("VmPeak:\t  900000 kB\n"))
	is.True(!ok)
}
