package ctrl

import (
	"context"
	"sync"

	"corianderwing"
	"corianderwing/io/peer"
	"corianderwing/io/record"
)

// Holders reaches the control instances that hold records. It implements
// record.Shipper and corianderwing.RecordFinder.
type Holders struct {
	peer  *peer.Client
	addrs map[corianderwing.InstanceID]string
}

var (
	_ record.Shipper             = (*Holders)(nil)
	_ corianderwing.RecordFinder = (*Holders)(nil)
)

// NewHolders returns the holders at the given peer addresses.
func NewHolders(pc *peer.Client, addrs map[corianderwing.InstanceID]string) *Holders {
	return &Holders{peer: pc, addrs: addrs}
}

// Ship implements record.Shipper.
func (h *Holders) Ship(ctx context.Context, holder corianderwing.InstanceID, b record.Batch) error {
	addr, ok := h.addrs[holder]
	if !ok {
		return corianderwing.Errorf(corianderwing.NotFound, "no control instance %q", holder)
	}
	_, err := peer.Call(ctx, h.peer, addr, shipMethod, &b)
	return err
}

// Find implements corianderwing.RecordFinder. Holders that do not answer in time
// are left out: each record has a second holder.
func (h *Holders) Find(ctx context.Context, q corianderwing.Query) ([]corianderwing.Record, uint64, error) {
	var (
		wg      sync.WaitGroup
		mu      sync.Mutex
		answers []record.QueryResult
		last    error
	)
	for _, addr := range h.addrs {
		wg.Go(func() {
			tryCtx, cancel := context.WithTimeout(ctx, tryTimeout)
			defer cancel()
			found, err := peer.Call(tryCtx, h.peer, addr, findMethod, &q)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				last = err
				return
			}
			answers = append(answers, *found)
		})
	}
	wg.Wait()
	if len(answers) == 0 && last != nil {
		return nil, 0, last
	}
	merged := record.Merge(q, answers...)
	return merged.Records, merged.TotalLost(), nil
}
