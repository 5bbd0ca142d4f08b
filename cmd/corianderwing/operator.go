package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"corianderwing"
	"corianderwing/io/admin"
	"corianderwing/io/conf"
)

// operatorFlags are the flags of every command that talks to the operators'
// API.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringSliceFlag{
			Name:    "admin",
			Usage:   "`HOST:PORT` of a control instance's operators' API; several are tried in turn",
			Sources: cli.EnvVars("CORIANDERWING_ADMIN"),
		},
		&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "settings `FILE` that lists the control instances, instead of --admin"},
		&cli.StringFlag{Name: "operator", Usage: "`NAME` that changes are recorded under", Value: os.Getenv("USER")},
		&cli.StringFlag{Name: "group", Usage: "control `GROUP`; default: the workspace's home, else the first"},
		&cli.DurationFlag{Name: "timeout", Usage: "longest `TIME` to wait for an answer", Value: 15 * time.Second},
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
	}, more...)
}

// changeFlags are the flags of commands that change something.
func changeFlags(more ...cli.Flag) []cli.Flag {
	return operatorFlags(append([]cli.Flag{
		&cli.StringFlag{Name: "request", Usage: "`ID` of the change; sent again, it gets the first answer"},
		&cli.BoolFlag{Name: "wait", Usage: "return only when the change is in force everywhere"},
	}, more...)...)
}

// baseFlag names the revision that a change of the tree was made from.
func baseFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "base", Usage: "`REVISION` that the change was made from; default: the current one"}
}

// session is one command's way to the operators' API.
type session struct {
	*admin.Client
	cmd   *cli.Command
	group corianderwing.GroupID
}

// operate calls f with a session.
func operate(f func(ctx context.Context, s *session) error) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		addrs, err := adminAddrs(cmd)
		if err != nil {
			return err
		}
		client, err := admin.NewClient(addrs, admin.WithOperator(cmd.String("operator")))
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
		defer cancel()
		return f(ctx, &session{Client: client, cmd: cmd, group: corianderwing.GroupID(cmd.String("group"))})
	}
}

func adminAddrs(cmd *cli.Command) ([]string, error) {
	if addrs := cmd.StringSlice("admin"); len(addrs) > 0 {
		return addrs, nil
	}
	file := cmd.String("settings")
	if file == "" {
		return nil, corianderwing.Errorf(corianderwing.InvalidInput, "give --admin HOST:PORT or --settings FILE")
	}
	cfg, err := conf.Load(file)
	if err != nil {
		return nil, err
	}
	var addrs []string
	for _, p := range cfg.Processes {
		if p.Control != nil {
			addrs = append(addrs, p.Control.AdminAddr)
		}
	}
	return addrs, nil
}

// change returns the common part of a change.
func (s *session) change() admin.Change {
	return admin.Change{Group: s.group, Request: corianderwing.RequestID(s.cmd.String("request"))}
}

// based returns the common part of a change of the tree. Without --base it is
// made from the current revision.
func (s *session) based(ctx context.Context, p corianderwing.Path) (admin.Change, error) {
	c := s.change()
	if s.cmd.IsSet("base") {
		base := corianderwing.Revision(s.cmd.Uint64("base"))
		c.Base = &base
		return c, nil
	}
	for {
		node, err := s.Node(ctx, s.group, p)
		if corianderwing.CodeOf(err) == corianderwing.NotFound && p.Workspace != "" {
			p = parent(p)
			continue
		}
		c.Base = &node.Revision
		return c, err
	}
}

func parent(p corianderwing.Path) corianderwing.Path {
	switch {
	case p.Route != "":
		p.Route = ""
	case p.Service != "":
		p.Service = ""
	default:
		p.Workspace = ""
	}
	return p
}

// first names the first group if none is given, so that drains and moves,
// which belong to no workspace, are always found in the same place.
func (s *session) first(ctx context.Context) error {
	if s.group != "" {
		return nil
	}
	status, err := s.Status(ctx)
	if err != nil {
		return err
	}
	if len(status.Groups) > 0 {
		s.group = status.Groups[0].Group
	}
	return nil
}

// accepted reports a change, and waits until it is in force if asked to.
func (s *session) accepted(ctx context.Context, a admin.Accepted) error {
	force := false
	if s.cmd.Bool("wait") {
		if err := s.Await(ctx, a.Group, a.Revision); err != nil {
			return err
		}
		force = true
	}
	answer := struct {
		admin.Accepted
		Force bool `json:"force,omitempty"`
	}{a, force}
	return s.print(answer, func(w io.Writer) {
		state := "accepted"
		if force {
			state = "in force everywhere"
		}
		fmt.Fprintf(w, "%s: group %s, revision %d\n", state, a.Group, a.Revision)
	})
}

// print writes v as JSON, or calls text.
func (s *session) print(v any, text func(w io.Writer)) error {
	return printTo(s.cmd, v, text)
}

func printTo(cmd *cli.Command, v any, text func(w io.Writer)) error {
	out := cmd.Root().Writer
	if cmd.Bool("json") {
		enc := json.NewEncoder(out)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	text(w)
	return w.Flush()
}

// arg returns a required argument.
func arg(cmd *cli.Command, i int, name string) (string, error) {
	if cmd.Args().Len() <= i {
		return "", corianderwing.Errorf(corianderwing.InvalidInput, "argument %s is missing; see '%s --help'", name, cmd.FullName())
	}
	return cmd.Args().Get(i), nil
}
