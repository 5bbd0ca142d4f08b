package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"corianderwing"
	"corianderwing/core/tree"
	"corianderwing/io/admin"
)

func treeCommand() *cli.Command {
	return &cli.Command{
		Name:  "tree",
		Usage: "read, change and watch the tree of settings",
		Commands: []*cli.Command{
			{
				Name:  "get",
				Usage: "show a node: its own settings, the effective ones, and what is below it",
				UsageText: `corianderwing tree get [PATH]

Examples:
  corianderwing tree get --settings examples/threadworks.yaml andaman-pearl
  corianderwing tree get -s examples/threadworks.yaml andaman-pearl/order-desk/orders`,
				Flags:  operatorFlags(),
				Action: operate(treeGet),
			},
			{
				Name:  "set",
				Usage: "create or replace the own settings of a node (JSON from --file, or - for standard input)",
				UsageText: `corianderwing tree set --file FILE PATH

Example:
  echo '{"rate": 50, "burst": 100}' | corianderwing tree set -s examples/threadworks.yaml --file - andaman-pearl`,
				Flags:  changeFlags(baseFlag(), &cli.StringFlag{Name: "file", Usage: "`FILE` with the settings as JSON", Required: true}),
				Action: operate(treeSet),
			},
			{
				Name:      "drop",
				Usage:     "remove a node and everything below it",
				UsageText: "corianderwing tree drop PATH",
				Flags:     changeFlags(baseFlag()),
				Action:    operate(treeDrop),
			},
			{
				Name:      "watch",
				Usage:     "print accepted changes of a group as JSON lines until interrupted",
				UsageText: "corianderwing tree watch --group GROUP [--after REVISION]",
				Flags:     operatorFlags(&cli.Uint64Flag{Name: "after", Usage: "start after `REVISION`"}),
				Action:    operate(treeWatch),
			},
		},
	}
}

func treeGet(ctx context.Context, s *session) error {
	p, err := tree.ParsePath(s.cmd.Args().First())
	if err != nil {
		return err
	}
	if p.Workspace == "" {
		if err := s.first(ctx); err != nil {
			return err
		}
	}
	node, err := s.Node(ctx, s.group, p)
	if err != nil {
		return err
	}
	return s.print(node, func(w io.Writer) {
		fmt.Fprintf(w, "path\t%s\ngroup\t%s\nrevision\t%d\n", node.Path, node.Group, node.Revision)
		fmt.Fprintf(w, "own\t%s\neffective\t%s\n", compact(node.Settings), compact(node.Effective))
		for _, id := range node.Children {
			fmt.Fprintf(w, "below\t%s\n", id)
		}
	})
}

func compact(v any) string {
	text, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// pathArg returns the node that the first argument names.
func pathArg(cmd *cli.Command) (corianderwing.Path, error) {
	name, err := arg(cmd, 0, "PATH")
	if err != nil {
		return corianderwing.Path{}, err
	}
	return tree.ParsePath(name)
}

func treeSet(ctx context.Context, s *session) error {
	p, err := pathArg(s.cmd)
	if err != nil {
		return err
	}
	settings, err := readSettings(s.cmd.String("file"))
	if err != nil {
		return err
	}
	change, err := s.based(ctx, p)
	if err != nil {
		return err
	}
	a, err := s.Set(ctx, admin.SetNode{Change: change, Path: p, Settings: settings})
	if err != nil {
		return err
	}
	return s.accepted(ctx, a)
}

// readSettings reads the settings of a node. An unknown field is an error, so
// that a misspelt one is not lost.
func readSettings(file string) (*corianderwing.Settings, error) {
	data, err := readInput(file)
	if err != nil {
		return nil, err
	}
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	settings := new(corianderwing.Settings)
	if err := dec.Decode(settings); err != nil {
		return nil, corianderwing.Errorf(corianderwing.InvalidInput, "%s: %v", file, err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, corianderwing.Errorf(corianderwing.InvalidInput, "%s: there is text after the settings", file)
	}
	return settings, nil
}

func readInput(file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}

func treeDrop(ctx context.Context, s *session) error {
	p, err := pathArg(s.cmd)
	if err != nil {
		return err
	}
	change, err := s.based(ctx, p)
	if err != nil {
		return err
	}
	a, err := s.Delete(ctx, admin.DeleteNode{Change: change, Path: p})
	if err != nil {
		return err
	}
	return s.accepted(ctx, a)
}

func treeWatch(ctx context.Context, s *session) error {
	if err := s.first(ctx); err != nil {
		return err
	}
	var after *corianderwing.Revision
	if s.cmd.IsSet("after") {
		r := corianderwing.Revision(s.cmd.Uint64("after"))
		after = &r
	}
	enc := json.NewEncoder(s.cmd.Root().Writer)
	err := s.Watch(context.WithoutCancel(ctx), s.group, after, func(e admin.Event) error { return enc.Encode(e) })
	return err
}
