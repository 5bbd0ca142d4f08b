package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"corianderwing/io/slope"
)

func slopesCommand() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "measure how costs grow, for the capacity page",
		UsageText: `corianderwing slopes [--json] [--out FILE]

Measures each cost at three sizes or more in this process, with loopback
connections and a temporary directory, and fits a line. Takes up to five minutes.`,
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.StringFlag{Name: "out", Usage: "`FILE` to write the result to, as JSON"},
		},
		Action: runSlopes,
	}
}

func runSlopes(ctx context.Context, cmd *cli.Command) error {
	dir, err := os.MkdirTemp("", "corianderwing-slopes-")
	if err != nil {
		return eris.Wrap(err, "create a temporary directory")
	}
	defer os.RemoveAll(dir)
	result, err := slope.Run(ctx, slope.Default(), dir, func(name string) {
		fmt.Fprintf(logOutput, "measuring %s\n", name)
	})
	if err != nil {
		return err
	}
	if file := cmd.String("out"); file != "" {
		data, err := json.MarshalIndent(result, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(file, append(data, '\n'), 0o644); err != nil {
			return eris.Wrap(err, "write the result")
		}
	}
	return printTo(cmd, result, func(w io.Writer) { fmt.Fprint(w, result.Text()) })
}
