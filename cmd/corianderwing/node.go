package main

import (
	"context"
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
	go reloadOnHangup(n, cmd.String("settings"))
	var failed error
	select {
	case <-ctx.Done():
	case failed = <-n.Failed():
	}
	grace := time.Duration(set.Bounds.GracePeriod) - stopReserve
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	if err := n.Close(stopCtx); err != nil && failed == nil {
		return err
	}
	return failed
}

// reloadOnHangup reads the settings again on each SIGHUP, until the process has ended.
func reloadOnHangup(n *node.Node, path string) {
	for range hangups {
		set, err := node.Load(path)
		n.Reload(set, err)
	}
}
