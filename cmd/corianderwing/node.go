package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"corianderwing/io/node"
	"corianderwing/platform"
)

func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "run one instance of a site on the users' platform until it is told to stop (SIGTERM)",
		UsageText: `corianderwing node --settings FILE

Example:
  corianderwing node --settings /etc/corianderwing/local.toml`,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:     "settings",
				Aliases:  []string{"s"},
				Usage:    "settings `FILE` of the instance, in YAML",
				Required: true,
			},
		},
		Action: runNode,
	}
}

// stopReserve is the part of the grace that is kept for the end of the
// process.
const stopReserve = 300 * time.Millisecond

func runNode(ctx context.Context, cmd *cli.Command) error {
	set, err := node.Load(cmd.String("settings"))
	if err != nil {
		return err
	}
	n, err := node.Start(set, &platform.Adapter{})
	if err != nil {
		return err
	}
	failed := wait(ctx, n, cmd.String("settings"))
	grace := time.Duration(set.Bounds.GracePeriod) - stopReserve
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	if err := n.Close(stopCtx); err != nil && failed == nil {
		return err
	}
	return failed
}

// wait returns when the instance is to stop, with the reason if it failed. On
// SIGHUP it reads the settings again.
func wait(ctx context.Context, n *node.Node, path string) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-n.Failed():
			return err
		case <-hup:
			set, err := node.Load(path)
			n.Reload(set, err)
		}
	}
}
