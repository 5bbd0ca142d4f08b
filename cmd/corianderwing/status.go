package main

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"corianderwing/io/conf"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "show every group: leader, term, accepted and in-force revision, leases",
		UsageText: "corianderwing status --settings examples/threadworks.yaml",
		Flags:     operatorFlags(),
		Action:    operate(showStatus),
	}
}

func showStatus(ctx context.Context, s *session) error {
	status, err := s.Status(ctx)
	if err != nil {
		return err
	}
	return s.print(status, func(w io.Writer) {
		fmt.Fprintln(w, "GROUP\tLEADER\tTERM\tACCEPTED\tIN FORCE\tLEASES")
		for _, g := range status.Groups {
			leader := string(g.Leader)
			if leader == "" {
				leader = "none"
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", g.Group, leader, g.Term, g.Revision, g.Confirmed, g.Leases)
		}
	})
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a settings file and report every problem",
		UsageText: "corianderwing check --settings examples/threadworks.yaml",
		Flags:     []cli.Flag{settingsFlag(), &cli.BoolFlag{Name: "json", Usage: "print JSON"}},
		Action:    checkSettings,
	}
}

func checkSettings(_ context.Context, cmd *cli.Command) error {
	cfg, err := conf.Load(cmd.String("settings"))
	if err != nil {
		return err
	}
	report := struct {
		File      string         `json:"file"`
		Processes int            `json:"processes"`
		Groups    int            `json:"groups"`
		Domains   int            `json:"domains"`
		Warnings  []conf.Problem `json:"warnings,omitempty"`
	}{cfg.Name, len(cfg.Processes), len(cfg.Groups), len(cfg.Domains), cfg.Warnings}
	return printTo(cmd, report, func(w io.Writer) {
		for _, p := range cfg.Warnings {
			fmt.Fprintln(w, "warning:", p)
		}
		fmt.Fprintf(w, "%s: %d processes, %d groups, %d failure domains\n", cfg.Name, report.Processes, report.Groups, report.Domains)
	})
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:   "version",
		Usage:  "show the version of this program",
		Flags:  []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print JSON"}},
		Action: showVersion,
	}
}

func showVersion(_ context.Context, cmd *cli.Command) error {
	v := struct {
		Version string `json:"version"`
		Go      string `json:"go"`
	}{Version: "unknown"}
	if info, ok := debug.ReadBuildInfo(); ok {
		v.Version, v.Go = info.Main.Version, info.GoVersion
	}
	return printTo(cmd, v, func(w io.Writer) {
		fmt.Fprintf(w, "corianderwing %s (%s)\n", v.Version, v.Go)
	})
}
