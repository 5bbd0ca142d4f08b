package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"corianderwing"
	"corianderwing/io/soak"
	"corianderwing/platform"
)

// Limits of a soak. A run takes about 20 s more than its traffic.
const (
	leastSoak = 5 * time.Second
	maxSoak   = 24 * time.Hour
	maxProcs  = 100
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run the real processes under random faults and check what callers and upstreams see",
		UsageText: `corianderwing soak [--seed N] [--runs N] [--for TIME] [--json] [--out FILE]

Starts control and entry processes on loopback addresses behind a proxy that
delays, cuts, silences and resets connections; kills, pauses, stops and restarts
them; loses disks; changes settings. Ends with status 0 only if no promise broke.
It ends only processes that it started.`,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "seed `N` of the first run", Value: 1},
			&cli.IntFlag{Name: "runs", Usage: "`N` runs, each with the next seed", Value: 1},
			&cli.DurationFlag{Name: "for", Usage: "`TIME` that the traffic of a run lasts", Value: 40 * time.Second},
			&cli.IntFlag{Name: "controls", Usage: "`N` control processes", Value: 3},
			&cli.IntFlag{Name: "entries", Usage: "`N` entry processes", Value: 4},
			&cli.StringFlag{Name: "dir", Usage: "`DIR` for logs, kept if a promise broke; default: a temporary one"},
			&cli.StringFlag{Name: "out", Usage: "`FILE` for the reports, as JSON"},
			&cli.BoolFlag{Name: "json", Usage: "print the reports as JSON, without progress"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, cmd *cli.Command) error {
	length, controls, entries := cmd.Duration("for"), cmd.Int("controls"), cmd.Int("entries")
	if length < leastSoak || length > maxSoak {
		return corianderwing.Errorf(corianderwing.InvalidInput, "--for is %v, allowed: %v to %v", length, leastSoak, maxSoak)
	}
	if controls < 1 || entries < 1 || controls > 5 || entries > maxProcs {
		return corianderwing.Errorf(corianderwing.InvalidInput, "--controls is %d and --entries is %d, allowed: 1 to 5 and 1 to %d", controls, entries, maxProcs)
	}
	program, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "find the own program")
	}
	dir := cmd.String("dir")
	if dir == "" {
		if dir, err = os.MkdirTemp("", "corianderwing-soak-"); err != nil {
			return eris.Wrap(err, "create a directory")
		}
	}
	var reports []*soak.Report
	broken := 0
	for i := range cmd.Int("runs") {
		cfg := soak.Config{
			Program: program, Wire: &platform.Client{}, Seed: cmd.Uint64("seed") + uint64(i), Length: length,
			Controls: controls, Entries: entries,
		}
		cfg.Dir = filepath.Join(dir, fmt.Sprintf("seed-%d", cfg.Seed))
		if !cmd.Bool("json") {
			cfg.Live = cmd.Root().Writer
		}
		report, err := soak.Run(ctx, cfg)
		if err != nil {
			return eris.Wrapf(err, "seed %d, logs in %s", cfg.Seed, cfg.Dir)
		}
		reports = append(reports, report)
		if err := endRun(cmd, report); err != nil {
			return err
		}
		if len(report.Breaches) > 0 {
			broken++
		}
	}
	if err := writeReports(cmd, reports); err != nil {
		return err
	}
	if broken > 0 {
		return fmt.Errorf("promises broke in %d of %d runs; logs are in %s", broken, len(reports), dir)
	}
	return nil
}

// endRun prints a report, and removes the files of a run without a finding.
func endRun(cmd *cli.Command, r *soak.Report) error {
	if !cmd.Bool("json") {
		fmt.Fprint(cmd.Root().Writer, r.Text())
	}
	if len(r.Breaches) > 0 {
		return nil
	}
	return os.RemoveAll(r.Dir)
}

func writeReports(cmd *cli.Command, reports []*soak.Report) error {
	data, err := json.MarshalIndent(reports, "", "  ")
	if err != nil {
		return err
	}
	if file := cmd.String("out"); file != "" {
		if err := os.WriteFile(file, append(data, '\n'), 0o644); err != nil {
			return eris.Wrap(err, "write the reports")
		}
	}
	if cmd.Bool("json") {
		_, err = fmt.Fprintln(cmd.Root().Writer, string(data))
	}
	return err
}
