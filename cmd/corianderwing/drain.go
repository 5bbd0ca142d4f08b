package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"corianderwing"
	"corianderwing/io/admin"
)

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "stop new work on an upstream, and allow it again",
		Commands: []*cli.Command{
			{
				Name:      "list",
				Usage:     "list the drained upstreams",
				UsageText: "corianderwing drain list",
				Flags:     operatorFlags(),
				Action:    operate(drainList),
			},
			{
				Name:      "start",
				Usage:     "stop new work on an upstream",
				UsageText: "corianderwing drain start UPSTREAM [--wait]",
				Flags:     changeFlags(),
				Action:    operate(drainStart),
			},
			{
				Name:      "end",
				Usage:     "allow new work on an upstream again",
				UsageText: "corianderwing drain end UPSTREAM",
				Flags:     changeFlags(),
				Action:    operate(drainEnd),
			},
		},
	}
}

func drainList(ctx context.Context, s *session) error {
	list, err := s.Drains(ctx, s.group)
	if err != nil {
		return err
	}
	return s.print(list, func(w io.Writer) {
		fmt.Fprintln(w, "UPSTREAM\tGROUP\tSINCE")
		for _, d := range list.Drains {
			fmt.Fprintf(w, "%s\t%s\t%s\n", d.Upstream, d.Group, d.Since.Format(time.RFC3339))
		}
	})
}

func drainStart(ctx context.Context, s *session) error {
	u, err := arg(s.cmd, 0, "UPSTREAM")
	if err != nil {
		return err
	}
	if err := s.first(ctx); err != nil {
		return err
	}
	a, err := s.Drain(ctx, admin.SetDrain{Change: s.change(), Upstream: corianderwing.UpstreamID(u)})
	if err != nil {
		return err
	}
	return s.accepted(ctx, a)
}

func drainEnd(ctx context.Context, s *session) error {
	u, err := arg(s.cmd, 0, "UPSTREAM")
	if err != nil {
		return err
	}
	a, err := s.Undrain(ctx, admin.EndDrain{Change: s.change(), Upstream: corianderwing.UpstreamID(u)})
	if err != nil {
		return err
	}
	return s.accepted(ctx, a)
}
