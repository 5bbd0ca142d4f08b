package model

import (
	"time"

	"corianderwing"
)

const (
	// maxHistory and maxHistoryBytes bound the updates that a follower keeps for
	// others.
	maxHistory      = 64
	maxHistoryBytes = 256 << 10
)

// History holds the latest updates of a follower's view, so that the follower can pass
// them on. It is immutable; the zero value holds none.
type History struct {
	entries []historyEntry // each begins where the one before ends
}

type historyEntry struct {
	from   corianderwing.Revision // of the view before the update
	update Update
	bytes  int
}

// Add returns the history after an update of a view that had the given revision. A
// snapshot begins a new history.
func (h History) Add(u Update, from corianderwing.Revision) History {
	if u.Packed != nil || u.Snapshot != nil {
		return History{}
	}
	e := historyEntry{from: from, update: u, bytes: len(u.Command)}
	for _, c := range u.Commands {
		e.bytes += len(c)
	}
	all := append(h.entries[:len(h.entries):len(h.entries)], e)
	total := 0
	for i := len(all) - 1; i >= 0; i-- {
		total += all[i].bytes
		if len(all)-i > maxHistory || total > maxHistoryBytes {
			return History{all[i+1:]}
		}
	}
	return History{all}
}

// After returns the updates that follow a revision, and whether the history reaches
// back that far.
func (h History) After(r corianderwing.Revision) ([]Update, bool) {
	var list []Update
	for _, e := range h.entries {
		if e.update.Revision <= r {
			continue
		}
		if len(list) == 0 && e.from > r {
			return nil, false
		}
		list = append(list, e.update)
	}
	return list, len(list) > 0
}

// Pack returns an update that replaces any other view by this one. The remaining
// warm-up times are those at now.
func (v *View) Pack(now time.Time) (Update, error) {
	plain, err := v.Save(now)
	if err != nil {
		return Update{}, err
	}
	packed, err := pack(plain)
	if err != nil {
		return Update{}, err
	}
	return Update{Revision: v.revision, Packed: packed}, nil
}
