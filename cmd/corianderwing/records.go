package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"corianderwing"
)

func recordsCommand() *cli.Command {
	return &cli.Command{
		Name:  "records",
		Usage: "find records of slow and refused answers across the fleet, newest first",
		UsageText: `corianderwing records [--workspace ID] [--route ID] [--code N] [--request ID] [--since TIME]

Example:
  corianderwing records -s examples/threadworks.yaml --workspace andaman-pearl --since 10m`,
		Flags: operatorFlags(
			&cli.StringFlag{Name: "workspace", Usage: "only of workspace `ID`"},
			&cli.StringFlag{Name: "route", Usage: "only of route `ID`"},
			&cli.StringFlag{Name: "id", Usage: "only of the request with this `ID` (header Cw-Request)"},
			&cli.Uint16Flag{Name: "code", Usage: "only with result code `N`"},
			&cli.DurationFlag{Name: "since", Usage: "only of the last `TIME`"},
			&cli.IntFlag{Name: "most", Usage: "at most `N` records", Value: 100},
		),
		Action: operate(findRecords),
	}
}

func findRecords(ctx context.Context, s *session) error {
	q := corianderwing.Query{
		Workspace: corianderwing.WorkspaceID(s.cmd.String("workspace")),
		Route:     corianderwing.RouteID(s.cmd.String("route")),
		Request:   corianderwing.RequestID(s.cmd.String("id")),
		Code:      corianderwing.Code(s.cmd.Uint16("code")),
		Limit:     s.cmd.Int("most"),
	}
	if since := s.cmd.Duration("since"); since > 0 {
		q.From = time.Now().Add(-since)
	}
	list, err := s.Records(ctx, q)
	if err != nil {
		return err
	}
	return s.print(list, func(w io.Writer) {
		fmt.Fprintln(w, "AT\tREQUEST\tWORKSPACE\tROUTE\tCODE\tRUN\tTOTAL\tWAIT\tINSTANCE\tREASON")
		for _, r := range list.Records {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s/%s\t%d %s\t%s\t%d ms\t%d ms\t%s\t%s\n", r.At.Format(time.RFC3339Nano), r.Request,
				r.Workspace, r.Service, r.Route, r.Code, r.Code, r.Execution, r.Total, r.Wait, r.Instance, r.Reason)
		}
		if list.Lost > 0 {
			fmt.Fprintf(w, "%d records were lost before they could be shipped\n", list.Lost)
		}
	})
}
