package ctrl

import (
	"sync"
	"time"

	"corianderwing"
)

// FreshnessLeaseDuration is the length of a freshness lease.
const FreshnessLeaseDuration = 3 * time.Second

// leaseTable are the freshness leaseTable that the leader of a group has given. The
// leader owns them; they are not replicated, so a new leader waits until
// those of its predecessor have expired.
type leaseTable struct {
	mu       sync.Mutex
	term     corianderwing.Term
	graceEnd time.Time // leases of an earlier leader may be in use until then
	granted  map[corianderwing.InstanceID]instanceLease
}

type instanceLease struct {
	confirmed corianderwing.Revision
	expires   time.Time
}

// startTerm prepares for the given term, if it is a new one.
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

// grant renews the lease of an instance whose snapshot has the revision at.
// An instance without that revision acts on older settings until it gets it,
// so the lease counts as behind until a renewal confirms the revision.
func (l *leaseTable) grant(id corianderwing.InstanceID, confirmed corianderwing.Revision, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.granted[id] = instanceLease{confirmed: confirmed, expires: corianderwing.GrantorDeadline(now, FreshnessLeaseDuration)}
}

// inForce returns the highest revision, up to accepted, that every unexpired
// lease has confirmed, and the number of these leases. It is 0 while leases of
// an earlier leader may be in use.
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
