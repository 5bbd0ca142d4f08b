package stand

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// Record writes what was sent, answered and run to record.txt in the folder of a case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
	start time.Time
}

// NewRecord creates the record of a case.
func NewRecord(folder string) (*Record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: f, w: bufio.NewWriter(f), start: time.Now()}, nil
}

// Add adds a line with alternating names and values.
func (r *Record) Add(what string, pairs ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.3f %s", time.Since(r.start).Seconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(r.w, " %v=%v", pairs[i], pairs[i+1])
	}
	fmt.Fprintln(r.w)
}

// Say adds a line and prints it.
func (r *Record) Say(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.Add(text)
	fmt.Println(text)
}

// Close writes the record to its file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
	r.file.Close()
}

// longest is how long a case may run.
const longest = 115 * time.Second

// endEarly ends the processes of all deployments when the case is told to end, or takes
// too long, and exits with NotRun.
func endEarly() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, os.Interrupt, syscall.SIGTERM)
	select {
	case <-told:
	case <-time.After(longest):
	}
	fmt.Println("ended early")
	closeAll()
	os.Exit(NotRun)
}

// Main runs a case in the folder given as the first argument and ends the process with
// its status. Without the disruption, trouble is false.
func Main(run func(r *Record, trouble bool) int) {
	if len(os.Args) != 2 {
		fmt.Println("usage: program FOLDER")
		os.Exit(NotRun)
	}
	r, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(NotRun)
	}
	go endEarly()
	status := run(r, os.Getenv("TROUBLE") != "0")
	r.Say("exit status %d", status)
	r.Close()
	os.Exit(status)
}
