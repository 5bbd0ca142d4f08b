package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// pageCommand finds the commands of a page: in code spans and indented lines.
var pageCommand = regexp.MustCompile("(?m)(?:`|^    )(corianderwing [^`\n]+)")

// onPage replaces the names that docs/OPERATIONS.md uses for what a reader
// fills in.
func (f *processes) onPage(command string) []string {
	fill := map[string]string{
		"S": "--settings=" + f.settings["c1"], "WORKSPACE": "shop", "ID": "shop-1", "UPSTREAM": "u1", "POOL": "goods", "GROUP": "home", "LOG": f.log,
	}
	var args []string
	for _, word := range strings.Fields(command)[1:] {
		if value, ok := fill[word]; ok {
			word = value
		}
		args = append(args, word)
	}
	return args
}

// Guards against a command on the operations page that does not work.
func TestOperationsPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	f := newProcesses(t)
	f.startAll()
	f.ready()
	f.log = filepath.Join(t.TempDir(), "entry.log")
	line := `{"time":"2026-03-31T11:47:51.373","level":"warn","instance":"e1","request":"shop-1","code":303,"message":"request"}`
	is.NoErr(os.WriteFile(f.log, []byte(line+"\n"), 0o600))
	var seen []string
	for _, match := range pageCommand.FindAllStringSubmatch(string(page), -1) {
		command := match[1]
		if slices.Contains(seen, command) {
			continue
		}
		seen = append(seen, command)
		args := f.onPage(command)
		if slices.Contains(args, "watch") {
			f.firstLine(args)
			continue
		}
		out, err := exec.Command(binary, args...).CombinedOutput()
		if err != nil {
			t.Errorf("%s: %v\n%s", command, err, out)
		}
	}
	is.True(len(seen) >= 9)
}

// firstLine runs a command that does not end by itself until it prints
// something.
func (f *processes) firstLine(args []string) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	cmd := exec.CommandContext(ctx, binary, args...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		f.t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	if n, err := out.Read(make([]byte, 1)); n == 0 {
		f.t.Errorf("%v printed nothing: %v", args, err)
	}
	cancel()
	cmd.Wait()
}
