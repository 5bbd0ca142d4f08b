package admin

import (
	"context"
	"slices"

	"corianderwing"
)

// RecordQuery selects records.
type RecordQuery struct {
	corianderwing.Query
}

// maxRecords is the maximum number of records in a response.
const maxRecords = 10_000

func (q *RecordQuery) read(in *input) {
	q.Workspace = corianderwing.WorkspaceID(in.query("workspace"))
	q.Route = corianderwing.RouteID(in.query("route"))
	q.Request = corianderwing.RequestID(in.query("request"))
	q.From, q.To = in.time("from"), in.time("to")
	if text := in.query("code"); text != "" {
		n := in.number("code", text)
		q.Code = corianderwing.Code(n)
		if uint64(q.Code) != n || !slices.Contains(corianderwing.Codes(), q.Code) {
			in.invalid("code", text, "a result code")
		}
	}
	if text := in.query("most"); text != "" {
		n := in.number("most", text)
		if n < 1 || n > maxRecords {
			in.invalid("most", text, "1 to 10000")
		}
		q.Limit = int(min(n, maxRecords))
	}
}

// RecordList lists the records that match a query. Lost counts records that were
// dropped because a buffer overflowed before they were sent.
type RecordList struct {
	Records []corianderwing.Record `json:"records"`
	Lost    uint64                 `json:"lost"`
}

func (a *API) findRecords(ctx context.Context, q *RecordQuery) (RecordList, error) {
	found, lost, err := a.records.Find(ctx, q.Query)
	if err != nil {
		return RecordList{}, err
	}
	if found == nil {
		found = []corianderwing.Record{}
	}
	return RecordList{Records: found, Lost: lost}, nil
}

// StatusQuery requests the state of every group.
type StatusQuery struct{}

func (*StatusQuery) read(*input) {}

// Status is the state of every group as known to the instance that responds.
type Status struct {
	Groups []GroupState `json:"groups"`
}

func (a *API) status(context.Context, *StatusQuery) (Status, error) {
	var s Status
	for _, g := range slices.Sorted(slices.Values(a.groups.Groups())) {
		s.Groups = append(s.Groups, a.groups.State(g))
	}
	return s, nil
}

// ChangeQuery requests the commit and confirmation state of a revision.
type ChangeQuery struct {
	Group    corianderwing.GroupID
	Revision corianderwing.Revision
}

func (q *ChangeQuery) read(in *input) {
	q.Group = corianderwing.GroupID(in.query("group"))
	q.Revision = corianderwing.Revision(in.number("revision", in.r.PathValue("revision")))
}

// ChangeState is the commit and confirmation state of a revision.
type ChangeState struct {
	Group     corianderwing.GroupID  `json:"group"`
	Revision  corianderwing.Revision `json:"revision"`
	Accepted  bool                   `json:"accepted"` // a majority has synced it to disk
	Confirmed bool                   `json:"force"`    // every instance with an unexpired lease has confirmed it
}

func (a *API) change(_ context.Context, q *ChangeQuery) (ChangeState, error) {
	g, err := a.resolveGroup(q.Group, "")
	if err != nil {
		return ChangeState{}, err
	}
	s := a.groups.State(g)
	return ChangeState{
		Group:     g,
		Revision:  q.Revision,
		Accepted:  q.Revision <= max(s.Revision, s.Confirmed),
		Confirmed: q.Revision <= s.Confirmed,
	}, nil
}
