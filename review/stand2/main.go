// Command stand2 plays the cases of a review: it starts the project's own programs as
// separate processes on loopback addresses, together with stand-ins of servers, clients
// and an operator, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// errBroken is the error of a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

// cases holds the cases by name. trouble is false for a run without the disruption.
var cases = map[string]func(rec *recorder, trouble bool) error{
	"hup":   stopAndReload,
	"quota": quotaAfterRestart,
	"home":  homesBehindCut,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		os.Exit(2)
	}
	rec, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	go endOnSignal()
	err = cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err == nil:
		rec.note("result: the rule held")
		fmt.Println("the rule held")
	case errors.Is(err, errBroken):
		rec.note("result: %v", err)
		fmt.Println(err)
		os.Exit(1)
	default:
		rec.note("result: the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	}
}

// endOnSignal ends what was started when this program is told to stop.
func endOnSignal() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	if f := current.Load(); f != nil {
		f.close()
	}
	os.Exit(2)
}
