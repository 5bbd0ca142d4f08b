package main

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"corianderwing"
	"corianderwing/io/conf"
	"corianderwing/io/daemon"
)

// stopTimeout bounds a graceful stop. Lookups are cached for 5 s and requests
// run for at most their timeout.
const stopTimeout = 60 * time.Second

func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name:     "settings",
		Aliases:  []string{"s"},
		Usage:    "settings `FILE` of the deployment",
		Required: true,
	}
}

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one process of a deployment until it is told to stop (SIGTERM)",
		UsageText: `corianderwing serve --settings FILE --process ID [--seed]

Example:
  corianderwing serve --settings examples/threadworks.yaml --process th-north-a-1 --seed`,
		Flags: []cli.Flag{
			settingsFlag(),
			&cli.StringFlag{Name: "process", Aliases: []string{"p"}, Usage: "`ID` of the process in the settings file", Required: true},
			&cli.BoolFlag{Name: "seed", Usage: "apply the file's tree to groups whose tree is empty"},
			&cli.StringFlag{Name: "data", Usage: "data `DIRECTORY`, instead of the file's"},
		},
		Action: serve,
	}
}

func serve(ctx context.Context, cmd *cli.Command) error {
	cfg, err := conf.Load(cmd.String("settings"))
	if err != nil {
		return err
	}
	logger := newLogger(cfg.Log.Level)
	opts := []daemon.Option{daemon.WithLog(logger)}
	if cmd.Bool("seed") {
		opts = append(opts, daemon.WithSeed())
	}
	if dir := cmd.String("data"); dir != "" {
		setData(cfg, dir)
	}
	id := corianderwing.InstanceID(cmd.String("process"))
	d, err := daemon.Start(cfg, id, opts...)
	if err != nil {
		return err
	}
	logger.Info().Str("process", string(id)).Msg("serving")
	go func() {
		for range hangups {
			logger.Warn().Str("process", string(id)).Msg("SIGHUP ignored: the settings file is read at the start only")
		}
	}()
	var failed error
	select {
	case <-ctx.Done():
	case failed = <-d.Failed():
	}
	logger.Info().Str("process", string(id)).Msg("stopping")
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := d.Close(stopCtx); err != nil && failed == nil {
		return err
	}
	return failed
}

// setData replaces the data directory of every process.
func setData(cfg *conf.Config, dir string) {
	for i := range cfg.Processes {
		if c := cfg.Processes[i].Control; c != nil {
			c.DataDir = dir
		}
	}
}

func newLogger(level string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer:     &log.IOWriter{Writer: logOutput},
	}
}
