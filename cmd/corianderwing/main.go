// Command corianderwing runs the processes of a deployment and operates them.
package main

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"github.com/urfave/cli/v3"

	"corianderwing"
	"corianderwing/io/conf"
)

func main() {
	ctx := watchSignals()
	if err := rootCommand().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitStatus(err))
	}
}

func rootCommand() *cli.Command {
	daemons := []*cli.Command{
		serveCommand(),
		nodeCommand(),
	}
	others := []*cli.Command{
		demoCommand(),
		explainCommand(),
		stubCommand(),
		stubsCommand(),
		loadCommand(),
		soakCommand(),
		slopesCommand(),
		checkCommand(),
		statusCommand(),
		treeCommand(),
		keyCommand(),
		drainCommand(),
		moveCommand(),
		recordsCommand(),
		versionCommand(),
	}
	for _, c := range daemons {
		c.Before = ignoreClosedLog
	}
	for _, c := range others {
		c.Before = stopOnHangup
	}
	return &cli.Command{
		Name:     "corianderwing",
		Usage:    "steer traffic between callers and upstreams",
		Commands: slices.Concat(daemons, others),
	}
}

// exitStatus returns the exit status of a failed command: that of its result
// code, or 1 for an error without one.
func exitStatus(err error) int {
	var coded *corianderwing.Error
	if errors.As(err, &coded) {
		return coded.Code.Exit()
	}
	var problems conf.Problems
	if errors.As(err, &problems) {
		return corianderwing.InvalidInput.Exit()
	}
	return 1
}
