package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"corianderwing"
	"corianderwing/core/tree"
	"corianderwing/io/admin"
)

func moveCommand() *cli.Command {
	return &cli.Command{
		Name:  "move",
		Usage: "move a pool's traffic from one version to another",
		Commands: []*cli.Command{
			{
				Name:      "list",
				Usage:     "list the latest move of each pool, with its outcome and evidence",
				UsageText: "corianderwing move list",
				Flags:     operatorFlags(),
				Action:    operate(moveList),
			},
			{
				Name:  "start",
				Usage: "start a move that ends by a set time or is rolled back",
				UsageText: `corianderwing move start POOL --from VERSION --to VERSION --in TIME

Example:
  corianderwing move start -s examples/threadworks.yaml motif-catalogue --from v1 --to v2 --in 10m`,
				Flags: changeFlags(
					baseFlag(),
					&cli.StringFlag{Name: "from", Usage: "old `VERSION`", Required: true},
					&cli.StringFlag{Name: "to", Usage: "new `VERSION`", Required: true},
					&cli.DurationFlag{Name: "in", Usage: "`TIME` from now by which the move must be done", Required: true},
				),
				Action: operate(moveStart),
			},
		},
	}
}

func moveList(ctx context.Context, s *session) error {
	list, err := s.Moves(ctx, s.group)
	if err != nil {
		return err
	}
	return s.print(list, func(w io.Writer) {
		fmt.Fprintln(w, "POOL\tFROM\tTO\tBY\tOUTCOME\tEVIDENCE")
		for _, m := range list.Moves {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", m.Pool, m.From, m.To, m.By.Format(time.RFC3339), m.Outcome, m.Evidence)
		}
	})
}

func moveStart(ctx context.Context, s *session) error {
	name, err := arg(s.cmd, 0, "POOL")
	if err != nil {
		return err
	}
	if err := s.first(ctx); err != nil {
		return err
	}
	root, err := tree.ParsePath("/")
	if err != nil {
		return err
	}
	change, err := s.based(ctx, root)
	if err != nil {
		return err
	}
	a, err := s.Move(ctx, admin.StartMove{
		Change: change,
		Pool:   corianderwing.PoolID(name),
		From:   corianderwing.VersionID(s.cmd.String("from")),
		To:     corianderwing.VersionID(s.cmd.String("to")),
		By:     time.Now().Add(s.cmd.Duration("in")),
	})
	if err != nil {
		return err
	}
	return s.accepted(ctx, a)
}
