// Command corianderwing runs the processes of a deployment and operates them.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"corianderwing"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:     "corianderwing",
		Usage:    "steer traffic between callers and upstreams",
		Commands: []*cli.Command{serveCommand(), stubCommand()},
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(max(1, corianderwing.CodeOf(err).Exit()))
	}
}
