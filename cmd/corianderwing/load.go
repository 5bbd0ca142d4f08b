package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"corianderwing/io/conf"
	"corianderwing/io/load"
	"corianderwing/io/stub"
)

// judgeTimeout bounds the reading of the upstreams' logs after a run.
const judgeTimeout = 30 * time.Second

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "load a running deployment in an open loop and judge the answers",
		UsageText: `corianderwing load SCENARIO [--out FILE] [--against FILE]

Fails if the run shows a broken invariant.

Example:
  corianderwing load examples/threadworks-load.yaml --out after.json --against before.json`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "`FILE` to write the result to, as JSON"},
			&cli.StringFlag{Name: "against", Usage: "result `FILE` of an earlier run to compare with"},
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of the plan, instead of the scenario's"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: runLoad,
		Commands: []*cli.Command{{
			Name:      "compare",
			Usage:     "compare two result files",
			UsageText: "corianderwing load compare BEFORE AFTER",
			Action:    compareLoads,
		}},
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	path, err := arg(cmd, 0, "SCENARIO")
	if err != nil {
		return err
	}
	scenario, cfg, err := load.Read(path)
	if err != nil {
		return err
	}
	if cmd.IsSet("seed") {
		scenario.Seed = cmd.Uint64("seed")
	}
	var before *load.Result
	if file := cmd.String("against"); file != "" {
		if before, err = load.ReadResult(file); err != nil {
			return eris.Wrap(err, "read the earlier result")
		}
	}
	result, err := load.Run(ctx, scenario, cfg, load.WithProgress(func(sent, planned int) {
		fmt.Fprintf(logOutput, "sent %d of %d\n", sent, planned)
	}))
	if err != nil {
		return err
	}
	judge, cancel := context.WithTimeout(context.WithoutCancel(ctx), judgeTimeout)
	defer cancel()
	result.Judge(judge, cfg, http.DefaultClient)
	return report(cmd, result, before)
}

// report prints and stores a result, and fails if it shows a broken invariant.
func report(cmd *cli.Command, result, before *load.Result) error {
	if file := cmd.String("out"); file != "" {
		if err := result.Write(file); err != nil {
			return eris.Wrap(err, "write the result")
		}
	}
	if cmd.Bool("json") {
		if err := json.NewEncoder(cmd.Root().Writer).Encode(result); err != nil {
			return err
		}
	} else {
		fmt.Fprint(cmd.Root().Writer, result.Text())
		if before != nil {
			fmt.Fprint(cmd.Root().Writer, load.Compare(before, result))
		}
	}
	if broken := result.Broken(); len(broken) > 0 {
		return eris.New("broken invariants:\n" + strings.Join(broken, "\n"))
	}
	return nil
}

func compareLoads(_ context.Context, cmd *cli.Command) error {
	var results [2]*load.Result
	for i, name := range []string{"BEFORE", "AFTER"} {
		path, err := arg(cmd, i, name)
		if err != nil {
			return err
		}
		if results[i], err = load.ReadResult(path); err != nil {
			return err
		}
	}
	fmt.Fprint(cmd.Root().Writer, load.Compare(results[0], results[1]))
	return nil
}

func stubsCommand() *cli.Command {
	return &cli.Command{
		Name:      "stubs",
		Usage:     "run every stand-in upstream of a settings file in one process",
		UsageText: "corianderwing stubs --settings examples/threadworks.yaml",
		Flags: []cli.Flag{
			settingsFlag(),
			&cli.Uint64Flag{Name: "seed", Usage: "`SEED` of service times and faults", Value: 1},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			cfg, err := conf.Load(cmd.String("settings"))
			if err != nil {
				return err
			}
			stop, cancel := context.WithCancel(context.WithoutCancel(ctx))
			defer cancel()
			context.AfterFunc(ctx, func() { time.AfterFunc(stopTimeout, cancel) })
			return stub.ServeAll(ctx, stop, stub.FromSettings(cfg, cmd.Uint64("seed")))
		},
	}
}
