package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing/io/local"
)

// piped is a process that runs until it is told to stop, and reads its settings from a pipe.
type piped struct {
	t        *testing.T
	cmd      *exec.Cmd
	settings string
	log      string
	ended    chan struct{} // closed when the process has ended
	err      error         // of its end
}

// startDaemon starts a daemon whose settings file is a named pipe, so that it waits in
// its start until provide is called.
func startDaemon(t *testing.T, args ...string) *piped {
	t.Helper()
	dir := t.TempDir()
	d := &piped{t: t, settings: filepath.Join(dir, "settings.yaml"), log: filepath.Join(dir, "log"), ended: make(chan struct{})}
	if err := syscall.Mkfifo(d.settings, 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := os.Create(d.log)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	d.start(out, args)
	return d
}

// start starts the process with out as its output.
func (d *piped) start(out *os.File, args []string) {
	t := d.t
	t.Helper()
	d.cmd = exec.Command(binary, append(args, "--settings", d.settings)...)
	d.cmd.Stdout, d.cmd.Stderr = out, out
	if err := d.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		d.err = d.cmd.Wait()
		close(d.ended)
	}()
	t.Cleanup(func() {
		d.cmd.Process.Kill() // it may have ended
		if t.Failed() {
			t.Logf("log:\n%s", d.output())
		}
	})
}

func (d *piped) output() string {
	text, _ := os.ReadFile(d.log)
	return string(text)
}

// openSettings waits until the daemon reads its settings, and returns the pipe to it.
func (d *piped) openSettings() *os.File {
	d.t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		pipe, err := os.OpenFile(d.settings, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err == nil {
			return pipe
		}
	}
	d.t.Fatalf("not within %v: the settings are read", patience)
	return nil
}

// provide sends the settings to a daemon that waits for them, and puts them into a file
// for later reads.
func (d *piped) provide(pipe *os.File, settings string) {
	d.t.Helper()
	file := d.settings + ".new"
	if err := errors.Join(os.WriteFile(file, []byte(settings), 0o600), os.Rename(file, d.settings)); err != nil {
		d.t.Fatal(err)
	}
	if _, err := pipe.WriteString(settings); err != nil {
		d.t.Fatal(err)
	}
	pipe.Close()
}

// eventuallyLogs waits until the log contains text.
func (d *piped) eventuallyLogs(text string) {
	d.t.Helper()
	deadline := time.After(patience)
	for !strings.Contains(d.output(), text) {
		select {
		case <-d.ended:
			d.t.Fatalf("ended before the log says %q: %v", text, d.err)
		case <-deadline:
			d.t.Fatalf("not within %v: the log says %q", patience, text)
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// hangUp sends SIGHUP at once and then again and again until the daemon has ended.
func (d *piped) hangUp() {
	d.cmd.Process.Signal(syscall.SIGHUP)
	go func() {
		for d.cmd.Process.Signal(syscall.SIGHUP) == nil {
			time.Sleep(time.Millisecond)
		}
	}()
}

// end waits until the daemon has ended.
func (d *piped) end() error {
	d.t.Helper()
	select {
	case <-d.ended:
		return d.err
	case <-time.After(patience):
		d.t.Fatalf("not within %v: the process ends", patience)
		return nil
	}
}

// freePorts returns the first of two consecutive ports on 127.0.0.1 for listeners.
func freePorts(t *testing.T) int {
	t.Helper()
	first, err := local.Ports(2)
	if err != nil {
		t.Fatal(err)
	}
	return first
}

// nodeSettings are the settings of an instance of a site without any other instance.
func nodeSettings(t *testing.T, role, listen string) string {
	t.Helper()
	port := freePorts(t)
	return fmt.Sprintf(`name: one
role: %s
ip: 127.0.0.1
domain: a-1
region: a
ports: [%d, %d]
seeds: ['127.0.0.1:%d']
found: true
beat: 500ms
domains: {a-1: a}
losses: 0
data: %s
listen: %s
`, role, port, port+1, port, t.TempDir(), listen)
}

// Guards against requests that are cut off because SIGHUP ends a process that starts,
// serves or stops, in place of having it read its settings.
func TestHangupAtEveryStage(t *testing.T) {
	t.Parallel()
	f := newProcesses(t)
	deployment, err := os.ReadFile(f.settings["e1"])
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		args     []string
		settings string
		serving  string
	}{
		"node, entry":   {[]string{"node"}, nodeSettings(t, "entry", "{public: '"+freeAddr(t)+"'}"), "instance started"},
		"node, control": {[]string{"node"}, nodeSettings(t, "control", "{admin: '"+freeAddr(t)+"', lookup: '"+freeAddr(t)+"'}"), "role changed"},
		"serve":         {[]string{"serve", "--process", "e1"}, string(deployment), "serving"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := startDaemon(t, c.args...)
			pipe := d.openSettings()
			d.hangUp()
			d.provide(pipe, c.settings)
			d.eventuallyLogs(c.serving)
			is.NoErr(d.cmd.Process.Signal(syscall.SIGTERM))
			is.NoErr(d.end()) // by itself, with status 0
		})
	}
}

// Guards against a daemon that ends because nobody reads its log any more: its requests
// are cut off.
func TestClosedLog(t *testing.T) {
	t.Parallel()
	f := newProcesses(t)
	deployment, err := os.ReadFile(f.settings["e1"])
	if err != nil {
		t.Fatal(err)
	}
	public := freeAddr(t)
	for name, c := range map[string]struct {
		args     []string
		settings string
		addr     string
	}{
		"node":  {[]string{"node"}, nodeSettings(t, "entry", "{public: '"+public+"'}"), public},
		"serve": {[]string{"serve", "--process", "e1"}, string(deployment), f.Entries[0].Public},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := &piped{t: t, settings: filepath.Join(t.TempDir(), "settings.yaml"), ended: make(chan struct{})}
			is.NoErr(os.WriteFile(d.settings, []byte(c.settings), 0o600))
			reader, out, err := os.Pipe()
			is.NoErr(err)
			is.NoErr(reader.Close())
			d.start(out, c.args)
			is.NoErr(out.Close())
			for deadline := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
				conn, err := net.Dial("tcp", c.addr)
				if err == nil {
					conn.Close()
					break
				}
				is.True(time.Now().Before(deadline))
			}
			is.NoErr(d.cmd.Process.Signal(syscall.SIGTERM)) // it logs that it stops
			is.NoErr(d.end())
		})
	}
}
