package main

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"corianderwing"
	"corianderwing/io/admin"
)

func keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "list, add and revoke callers' keys",
		Commands: []*cli.Command{
			{
				Name:      "list",
				Usage:     "list the keys of a workspace, revoked ones included",
				UsageText: "corianderwing key list WORKSPACE",
				Flags:     operatorFlags(),
				Action:    operate(keyList),
			},
			{
				Name:  "add",
				Usage: "add a key to a workspace and print its secret, once",
				UsageText: `corianderwing key add WORKSPACE [--id ID] [--label TEXT]

Example:
  corianderwing key add -s examples/threadworks.yaml --label front-desk andaman-pearl`,
				Flags: changeFlags(
					&cli.StringFlag{Name: "id", Usage: "`ID` of the key; default: derived from the request id"},
					&cli.StringFlag{Name: "label", Usage: "`TEXT` that tells what the key is for"},
				),
				Action: operate(keyAdd),
			},
			{
				Name:      "revoke",
				Usage:     "end a key; running requests with it end too",
				UsageText: "corianderwing key revoke WORKSPACE ID",
				Flags:     changeFlags(),
				Action:    operate(keyRevoke),
			},
		},
	}
}

func keyList(ctx context.Context, s *session) error {
	w, err := arg(s.cmd, 0, "WORKSPACE")
	if err != nil {
		return err
	}
	list, err := s.Keys(ctx, corianderwing.WorkspaceID(w))
	if err != nil {
		return err
	}
	return s.print(list, func(w io.Writer) {
		fmt.Fprintln(w, "KEY\tLABEL\tSTATE")
		for _, k := range list.Keys {
			state := "valid"
			if k.Revoked {
				state = "revoked"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\n", k.ID, k.Label, state)
		}
	})
}

func keyAdd(ctx context.Context, s *session) error {
	w, err := arg(s.cmd, 0, "WORKSPACE")
	if err != nil {
		return err
	}
	key, err := s.AddKey(ctx, admin.AddKey{
		Change:    s.change(),
		Workspace: corianderwing.WorkspaceID(w),
		ID:        corianderwing.KeyID(s.cmd.String("id")),
		Label:     s.cmd.String("label"),
	})
	if err != nil {
		return err
	}
	return s.print(key, func(w io.Writer) {
		fmt.Fprintf(w, "key\t%s\nsecret\t%s\ngroup\t%s\nrevision\t%d\n", key.Key.ID, key.Secret, key.Group, key.Revision)
	})
}

func keyRevoke(ctx context.Context, s *session) error {
	w, err := arg(s.cmd, 0, "WORKSPACE")
	if err != nil {
		return err
	}
	id, err := arg(s.cmd, 1, "ID")
	if err != nil {
		return err
	}
	a, err := s.RevokeKey(ctx, admin.RevokeKey{
		Change:    s.change(),
		Workspace: corianderwing.WorkspaceID(w),
		ID:        corianderwing.KeyID(id),
	})
	if err != nil {
		return err
	}
	return s.accepted(ctx, a)
}
