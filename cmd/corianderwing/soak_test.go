package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"corianderwing/io/soak"
)

// Guards against a promise that breaks under a few faults at once, and against
// a soak that does not run any more: one short run with a fixed seed.
func TestShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts seven processes for half a minute")
	}
	t.Parallel()
	is := is.New(t)
	dir := filepath.Join(t.TempDir(), "soak")
	out, err := exec.Command(binary, "soak", "--seed", "302", "--for", "20s", "--dir", dir, "--json").Output()
	if err != nil {
		t.Logf("%s", out)
	}
	is.NoErr(err)
	var reports []soak.Report
	is.NoErr(json.Unmarshal(out, &reports))
	is.Equal(len(reports), 1)
	is.Equal(len(reports[0].Breaches), 0)
	is.True(reports[0].Counts["status 200"] > 0)
	is.True(len(reports[0].Plan) > 0)
}

// Guards against limits of the soak that are not checked.
func TestSoakLimits(t *testing.T) {
	is := is.New(t)
	out, err := exec.Command(binary, "soak", "--for", "1s").CombinedOutput()
	is.True(err != nil)
	is.Equal(string(out), "209 badinput: --for is 1s, allowed: 5s to 24h0m0s\n")
}

// Guards against a run that goes on with the data of another one.
func TestSoakKeepsOldFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	old := filepath.Join(dir, "seed-7", "entry-1.log")
	is.NoErr(os.MkdirAll(filepath.Dir(old), 0o755))
	is.NoErr(os.WriteFile(old, []byte("x"), 0o600))
	out, err := exec.Command(binary, "soak", "--seed", "7", "--dir", dir).CombinedOutput()
	is.True(err != nil)
	is.True(strings.Contains(string(out), "holds files of another run"))
	_, err = os.Stat(old)
	is.NoErr(err)
}
