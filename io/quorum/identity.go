package quorum

import (
	"errors"
	"net"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"corianderwing"
	"corianderwing/io/store"
)

// A replica ID consists of its peer address and a suffix that tells incarnations
// apart, because an instance that lost its disk comes back as another replica. The
// founding replicas share a fixed suffix, so that each can compute the IDs of the
// others without agreeing on a random one.
const founderSuffix = ".00000000"

// founderID returns the ID of the founding replica at a peer address.
func founderID(addr string) corianderwing.InstanceID {
	return idPrefix(addr) + founderSuffix
}

// idPrefix converts a peer address to the characters allowed in an ID.
func idPrefix(addr string) corianderwing.InstanceID {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return corianderwing.InstanceID(addr)
	}
	return corianderwing.InstanceID(host + "-" + port)
}

// AddrOf returns the peer address that a replica ID holds.
func AddrOf(id corianderwing.InstanceID) string {
	name, _, _ := cutLast(string(id), ".")
	host, port, ok := cutLast(name, "-")
	if !ok {
		return name
	}
	return net.JoinHostPort(host, port)
}

func cutLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

// openStore opens and loads the data directory, and creates an identity in a new
// one. A directory with a damaged log is wiped, because the replica must not vote
// under an identity whose history it lost.
func (r *Replica) openStore() (*store.Store, corianderwing.StoredState, error) {
	st, err := store.OpenDir(r.cfg.DataDir)
	if err != nil {
		return nil, corianderwing.StoredState{}, err
	}
	stored, err := st.Load()
	var damage *store.CorruptionError
	if errors.As(err, &damage) {
		r.cfg.Log.Error().Err(err).Msg("the log is damaged; rebuilding this replica under a new identity")
		if err = st.Wipe(); err == nil {
			stored, err = st.Load()
		}
		r.cfg.Bootstrap = false
	}
	if err != nil {
		return nil, stored, errors.Join(err, st.Close())
	}
	if err := r.loadIdentity(st); err != nil {
		return nil, stored, errors.Join(err, st.Close())
	}
	return st, stored, nil
}

// loadIdentity reads or creates this replica's ID and the list of founders. A new
// group is founded only if Bootstrap is set, and only from an empty directory. Any
// other new replica starts without a membership and joins.
func (r *Replica) loadIdentity(st *store.Store) error {
	id, ok, err := st.Identity()
	if err != nil {
		return err
	}
	if ok {
		r.self = id
		r.founders, err = st.InitialMembership()
		return err
	}
	r.self = store.NewIdentity(idPrefix(r.cfg.PeerAddr))
	if r.cfg.Bootstrap && slices.Contains(r.cfg.Seeds, r.cfg.PeerAddr) {
		r.self = founderID(r.cfg.PeerAddr)
		for _, seed := range r.cfg.Seeds {
			r.founders.Voters = append(r.founders.Voters, founderID(seed))
		}
		slices.Sort(r.founders.Voters)
	}
	if err := st.SetInitialMembership(r.founders); err != nil {
		return err
	}
	return eris.Wrap(st.SetIdentity(r.self), "store replica identity")
}
