package ctrl

import (
	"sync"
	"time"

	"corianderwing"
)

// FreshnessLeaseDuration is the duration of a freshness lease.
const FreshnessLeaseDuration = 3 * time.Second

// leaseTable holds the freshness leases granted by the leader of a group. They are
// local to the leader and not replicated, so a new leader waits until the leases
// of its predecessor have expired.
type leaseTable struct {
	mu       sync.Mutex
	term     corianderwing.Term
	graceEnd time.Time // leases of an earlier leader may be valid until then
	granted  map[corianderwing.InstanceID]instanceLease
}

type instanceLease struct {
	confirmed corianderwing.Revision
	expires   time.Time
}

// startTerm resets the table if the term is new.
func (l *leaseTable) startTerm(term corianderwing.Term, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == term && l.granted != nil {
		return
	}
	l.term = term
	l.graceEnd = corianderwing.GrantorDeadline(now, FreshnessLeaseDuration)
	l.granted = map[corianderwing.InstanceID]instanceLease{}
}

// grant renews the lease of an instance that has applied the confirmed revision.
// An instance that lacks a later revision acts on older settings until it receives
// it, so the lease holds that revision back until a renewal confirms it.
func (l *leaseTable) grant(id corianderwing.InstanceID, confirmed corianderwing.Revision, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.granted[id] = instanceLease{confirmed: confirmed, expires: corianderwing.GrantorDeadline(now, FreshnessLeaseDuration)}
}

// inForce returns the highest revision, up to accepted, that every unexpired
// lease has confirmed, and the number of unexpired leases. The revision is 0 while
// leases of an earlier leader may be valid.
func (l *leaseTable) inForce(accepted corianderwing.Revision, now time.Time) (corianderwing.Revision, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	revision := accepted
	for id, lease := range l.granted {
		if now.After(lease.expires) {
			delete(l.granted, id)
			continue
		}
		revision = min(revision, lease.confirmed)
	}
	if !now.After(l.graceEnd) {
		revision = 0
	}
	return revision, len(l.granted)
}
