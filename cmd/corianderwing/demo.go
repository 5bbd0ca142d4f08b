package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"corianderwing"
	"corianderwing/io/demo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a small fleet with traffic in one process and show what callers see",
		UsageText: `corianderwing demo [--for TIME] [--seed N] [--json]

The demo revokes a key, drains an upstream and kills a control instance on the
way. It ends with status 0 only if no invariant broke.`,
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Usage: "`TIME` that the traffic runs", Value: 30 * time.Second},
			&cli.Uint64Flag{Name: "seed", Usage: "seed `N` of the traffic", Value: 1},
			&cli.BoolFlag{Name: "json", Usage: "print the summary as JSON, without the live view"},
		},
		Action: runDemo,
	}
}

// maxDemo bounds the demo's traffic.
const maxDemo = 10 * time.Minute

func runDemo(ctx context.Context, cmd *cli.Command) error {
	length := cmd.Duration("for")
	if length < time.Second || length > maxDemo {
		return corianderwing.Errorf(corianderwing.InvalidInput, "--for is %v, allowed: 1s to %v", length, maxDemo)
	}
	opts := demo.Options{For: length, Seed: cmd.Uint64("seed")}
	if !cmd.Bool("json") {
		opts.Live = cmd.Root().Writer
	}
	summary, err := demo.Run(ctx, opts)
	if err != nil {
		return err
	}
	if err := printTo(cmd, summary, func(w io.Writer) { fmt.Fprint(w, "\n"+summary.Text()) }); err != nil {
		return err
	}
	if n := len(summary.Broken); n > 0 {
		return fmt.Errorf("%d invariants broke", n)
	}
	return nil
}
