package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// hangups receives SIGHUP once watchSignals was called.
var hangups = make(chan os.Signal, 1)

// hangupIgnored is whether SIGHUP was ignored when the process started, as nohup has it.
var hangupIgnored bool

// watchSignals subscribes to the signals that tell the process to stop or to read its
// settings, and returns a context that ends with the first one to stop. Their default
// action ends the process at once, so they stay subscribed until it has ended: each of
// them may come at any time, and more than once.
func watchSignals() context.Context {
	hangupIgnored = signal.Ignored(syscall.SIGHUP)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	return ctx
}

// stopOnHangup makes SIGHUP stop a command that has no settings to read again: its
// terminal is gone. It is a cli.BeforeFunc.
func stopOnHangup(ctx context.Context, _ *cli.Command) (context.Context, error) {
	if hangupIgnored {
		return ctx, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		<-hangups
		cancel()
	}()
	return ctx, nil
}

// ignoreClosedLog keeps a daemon alive when whoever reads its log has gone. A write to a
// closed standard output or error ends the process otherwise.
func ignoreClosedLog(ctx context.Context, _ *cli.Command) (context.Context, error) {
	signal.Ignore(syscall.SIGPIPE)
	return ctx, nil
}
