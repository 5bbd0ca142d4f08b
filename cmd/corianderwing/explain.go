package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"corianderwing"
	"corianderwing/io/logs"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "tell the story of one request from the logs of all instances",
		UsageText: `corianderwing explain [--json] REQUEST FILE...

Example:
  corianderwing explain 9974d20a1b708545 logs/*.log`,
		Flags:  []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print the lines as JSON"}},
		Action: explain,
	}
}

func explain(_ context.Context, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) < 2 {
		return corianderwing.Errorf(corianderwing.InvalidInput, "a request's id and at least one log file are needed")
	}
	story, err := readAll(args[1:], func(files []io.Reader) ([]logs.Line, error) { return logs.RequestLines(args[0], files...) })
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(story, func(l logs.Line) bool { return l.Fields["request"] == args[0] }) {
		return noLine(args[0], args[1:])
	}
	if cmd.Bool("json") {
		return json.NewEncoder(cmd.Root().Writer).Encode(story)
	}
	for _, l := range story {
		fmt.Fprintln(cmd.Root().Writer, oneLine(l))
	}
	return nil
}

// readAll opens the files and calls f with them.
func readAll[T any](names []string, f func([]io.Reader) (T, error)) (T, error) {
	var none T
	var files []io.Reader
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			return none, corianderwing.Errorf(corianderwing.InvalidInput, "%v", err)
		}
		defer file.Close()
		files = append(files, file)
	}
	v, err := f(files)
	if err != nil {
		return none, corianderwing.Errorf(corianderwing.InvalidInput, "reading the logs: %v", err)
	}
	return v, nil
}

// noLine tells what can be known of a request without a line: the instance may
// have ended while it worked on it.
func noLine(id string, names []string) error {
	ended, err := readAll(names, func(files []io.Reader) ([]logs.UncleanExit, error) { return logs.UncleanExits(files...) })
	if err != nil {
		return err
	}
	text := fmt.Sprintf("no line of request %s in %d files: look at other instances, and at log.dropped in their metrics", id, len(names))
	for _, e := range ended {
		text += fmt.Sprintf("; %s ended without a stop after %s, what it worked on has no line", e.Instance, e.Last.Format("15:04:05.000"))
	}
	return corianderwing.Errorf(corianderwing.NotFound, "%s", text)
}

// oneLine renders a line for a terminal.
func oneLine(l logs.Line) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-14s %s", l.Time.Format("15:04:05.000"), l.Instance, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		v := l.Fields[name]
		if list, ok := v.([]any); ok {
			for i, x := range list {
				text, err := json.Marshal(x)
				if err != nil {
					continue // it came from JSON
				}
				fmt.Fprintf(&b, "\n    %s %d: %s", name, i+1, text)
			}
			continue
		}
		fmt.Fprintf(&b, " %s=%v", name, v)
	}
	return b.String()
}
