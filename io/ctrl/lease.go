package ctrl

import (
	"sync"
	"time"

	"corianderwing"
)

// FreshnessLeaseDuration is the length of a freshness lease.
const FreshnessLeaseDuration = 3 * time.Second

// leases are the freshness leases that the leader of a group has given. The
// leader owns them; they are not replicated, so a new leader waits until
// those of its predecessor have expired.
type leases struct {
	mu    sync.Mutex
	term  corianderwing.Term
	quiet time.Time // leases of an earlier leader may be in use until then
	given map[corianderwing.InstanceID]lease
}

type lease struct {
	confirmed corianderwing.Revision
	until     time.Time
}

// lead prepares for the given term, if it is a new one.
func (l *leases) lead(term corianderwing.Term, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == term && l.given != nil {
		return
	}
	l.term = term
	l.quiet = corianderwing.GrantorDeadline(now, FreshnessLeaseDuration)
	l.given = map[corianderwing.InstanceID]lease{}
}

// grant renews the lease of an instance whose snapshot has the revision at.
// An instance without that revision acts on older settings until it gets it,
// so the lease counts as behind until a renewal confirms the revision.
func (l *leases) grant(i corianderwing.InstanceID, at corianderwing.Revision, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.given[i] = lease{confirmed: at, until: corianderwing.GrantorDeadline(now, FreshnessLeaseDuration)}
}

// force returns the highest revision, up to accepted, that every unexpired
// lease has confirmed, and the number of these leases. It is 0 while leases of
// an earlier leader may be in use.
func (l *leases) force(accepted corianderwing.Revision, now time.Time) (corianderwing.Revision, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lowest := accepted
	for id, given := range l.given {
		if now.After(given.until) {
			delete(l.given, id)
			continue
		}
		lowest = min(lowest, given.confirmed)
	}
	if !now.After(l.quiet) {
		lowest = 0
	}
	return lowest, len(l.given)
}
