package main

import (
	"context"
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"

	"corianderwing"
	"corianderwing/io/stub"
)

// logOutput receives the log. Standard output is for results.
var logOutput = os.Stderr

func stubCommand() *cli.Command {
	return &cli.Command{
		Name:  "stub",
		Usage: "run a stand-in upstream",
		UsageText: `corianderwing stub --id ID --pool POOL --domain DOMAIN --addr HOST:PORT --entry HOST:PORT

Example:
  corianderwing stub --id motif-1 --pool motif-catalogue --domain th-north-a --addr 127.0.0.1:22001 --entry 127.0.0.1:21012`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "id", Usage: "`ID` of the upstream", Required: true},
			&cli.StringFlag{Name: "pool", Usage: "`POOL` that it belongs to", Required: true},
			&cli.StringFlag{Name: "domain", Usage: "failure `DOMAIN`", Required: true},
			&cli.StringFlag{Name: "addr", Usage: "`HOST:PORT` to listen on", Required: true},
			&cli.StringSliceFlag{Name: "entry", Usage: "public `HOST:PORT` of an entry instance of the domain", Required: true},
			&cli.StringFlag{Name: "version", Usage: "`VERSION` that it runs", Value: "v1"},
			&cli.IntFlag{Name: "slots", Usage: "requests it runs at the same time", Value: 4},
			&cli.IntFlag{Name: "conns", Usage: "connections it takes", Value: 390},
			&cli.DurationFlag{Name: "time", Usage: "mean service time", Value: 10 * time.Millisecond},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of service times and faults", Value: 1},
		},
		Action: runStub,
	}
}

func runStub(ctx context.Context, cmd *cli.Command) error {
	srv := stub.New(stub.Config{
		ID:      corianderwing.UpstreamID(cmd.String("id")),
		Pool:    corianderwing.PoolID(cmd.String("pool")),
		Domain:  corianderwing.DomainID(cmd.String("domain")),
		Version: corianderwing.VersionID(cmd.String("version")),
		Addr:    cmd.String("addr"),
		Entries: cmd.StringSlice("entry"),
		Slots:   corianderwing.Slots(cmd.Int("slots")),
		Conns:   corianderwing.Conns(cmd.Int("conns")),
		Time:    cmd.Duration("time"),
		Seed:    cmd.Uint64("seed"),
		Log:     newLogger("info"),
	})
	return serveStub(ctx, srv, cmd.String("addr"))
}

// serveStub serves until ctx ends, then drains and leaves.
func serveStub(ctx context.Context, srv *stub.Server, addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	stop, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	context.AfterFunc(ctx, func() { time.AfterFunc(stopTimeout, cancel) })
	return srv.Serve(ctx, stop, l)
}
