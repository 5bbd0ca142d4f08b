// Package record ships the records of slow and rejected requests from each entry
// instance to two holders, and answers queries for them.
package record

import (
	"cmp"
	"context"
	"slices"

	"corianderwing"
)

// defaultLimit is the maximum number of records returned for a query without a limit.
const defaultLimit = 100

// Batch is a group of records that an entry instance ships to a holder.
type Batch struct {
	Instance    corianderwing.InstanceID  `json:"instance"`
	Incarnation corianderwing.Incarnation `json:"incarnation"`
	Lost        uint64                    `json:"lost,omitempty"` // records lost by this incarnation so far
	Records     []corianderwing.Record    `json:"records"`
}

// Shipper sends a batch to a holder. It returns nil only after the holder has
// stored the batch.
type Shipper interface {
	Ship(ctx context.Context, holder corianderwing.InstanceID, b Batch) error
}

// QueryResult is a holder's response to a query.
type QueryResult struct {
	Records []corianderwing.Record              `json:"records"` // newest first
	Lost    map[corianderwing.InstanceID]uint64 `json:"lost,omitempty"`
}

// TotalLost returns the number of records lost by all instances.
func (f QueryResult) TotalLost() uint64 {
	var n uint64
	for _, lost := range f.Lost {
		n += lost
	}
	return n
}

// recordID identifies a record. The request ID alone is not enough: a request that
// one entry instance forwards to another may be recorded by both.
type recordID struct {
	instance corianderwing.InstanceID
	request  corianderwing.RequestID
}

func idOf(r corianderwing.Record) recordID { return recordID{r.Instance, r.Request} }

// Merge combines the responses of several holders to the same query and removes
// duplicate records. Of the loss counts reported for an instance it takes the highest,
// because every holder receives the same running count.
func Merge(q corianderwing.Query, results ...QueryResult) QueryResult {
	merged := QueryResult{Lost: map[corianderwing.InstanceID]uint64{}}
	seen := map[recordID]bool{}
	for _, a := range results {
		for _, r := range a.Records {
			if !seen[idOf(r)] {
				seen[idOf(r)] = true
				merged.Records = append(merged.Records, r)
			}
		}
		for i, n := range a.Lost {
			merged.Lost[i] = max(merged.Lost[i], n)
		}
	}
	newestFirst(merged.Records)
	merged.Records = merged.Records[:min(len(merged.Records), limit(q))]
	return merged
}

// newestFirst sorts by time, then by ID, so that all holders return the same order.
func newestFirst(records []corianderwing.Record) {
	slices.SortFunc(records, func(a, b corianderwing.Record) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Request, b.Request))
	})
}

func limit(q corianderwing.Query) int {
	if q.Limit <= 0 {
		return defaultLimit
	}
	return q.Limit
}

// Match reports whether a query selects a record. From is inclusive, To exclusive.
func Match(q corianderwing.Query, r corianderwing.Record) bool {
	return (q.Workspace == "" || q.Workspace == r.Workspace) &&
		(q.Route == "" || q.Route == r.Route) &&
		(q.Request == "" || q.Request == r.Request) &&
		(q.Code == 0 || q.Code == r.Code) &&
		(q.From.IsZero() || !r.At.Before(q.From)) &&
		(q.To.IsZero() || r.At.Before(q.To))
}
