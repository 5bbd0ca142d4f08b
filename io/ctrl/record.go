package ctrl

import (
	"context"
	"sync"

	"corianderwing"
	"corianderwing/io/peer"
	"corianderwing/io/record"
)

// RecordClient sends records to the control instances that hold them, and queries
// them. It implements record.Shipper and corianderwing.RecordFinder.
type RecordClient struct {
	peer  *peer.Client
	addrs map[corianderwing.InstanceID]string
}

var (
	_ record.Shipper             = (*RecordClient)(nil)
	_ corianderwing.RecordFinder = (*RecordClient)(nil)
)

// NewRecordClient returns a client of the holders at the given peer addresses.
func NewRecordClient(pc *peer.Client, addrs map[corianderwing.InstanceID]string) *RecordClient {
	return &RecordClient{peer: pc, addrs: addrs}
}

// Ship implements record.Shipper.
func (h *RecordClient) Ship(ctx context.Context, holder corianderwing.InstanceID, b record.Batch) error {
	addr, ok := h.addrs[holder]
	if !ok {
		return corianderwing.Errorf(corianderwing.NotFound, "no control instance %q", holder)
	}
	_, err := peer.Call(ctx, h.peer, addr, shipMethod, &b)
	return err
}

// Find implements corianderwing.RecordFinder. It skips holders that do not respond
// in time, because each record has a second holder. It fails only if all of them do.
func (h *RecordClient) Find(ctx context.Context, q corianderwing.Query) ([]corianderwing.Record, uint64, error) {
	var (
		wg      sync.WaitGroup
		mu      sync.Mutex
		results []record.QueryResult
		lastErr error
	)
	for _, addr := range h.addrs {
		wg.Go(func() {
			attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
			defer cancel()
			found, err := peer.Call(attemptCtx, h.peer, addr, findMethod, &q)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				lastErr = err
				return
			}
			results = append(results, *found)
		})
	}
	wg.Wait()
	if len(results) == 0 && lastErr != nil {
		return nil, 0, lastErr
	}
	merged := record.Merge(q, results...)
	return merged.Records, merged.TotalLost(), nil
}
