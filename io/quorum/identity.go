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

// A replica's id holds its peer address and a suffix that tells its lives
// apart: an instance that lost its disk comes back as another replica. The
// replicas that found the group need no agreement on a random suffix.
const founderSuffix = ".00000000"

// founderID returns the id of the founding replica at a peer address.
func founderID(addr string) corianderwing.InstanceID {
	return idPrefix(addr) + founderSuffix
}

// idPrefix turns a peer address into the characters that an id may hold.
func idPrefix(addr string) corianderwing.InstanceID {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return corianderwing.InstanceID(addr)
	}
	return corianderwing.InstanceID(host + "-" + port)
}

// AddrOf returns the peer address of a replica.
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

// openStore opens and loads the data directory, and gives a new one an
// identity. A directory whose log is damaged is wiped: the replica must not
// vote under an identity whose history it lost.
func (r *Replica) openStore() (*store.Store, corianderwing.StoredState, error) {
	st, err := store.OpenDir(r.cfg.DataDir)
	if err != nil {
		return nil, corianderwing.StoredState{}, err
	}
	stored, err := st.Load()
	var damage *store.DamageError
	if errors.As(err, &damage) {
		r.cfg.Log.Error().Err(err).Msg("the log is damaged; this replica is rebuilt under a new identity")
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

// loadIdentity reads or makes this replica's id and the founders of the group.
// Only an instance that is told so founds a group, and only from an empty
// directory. Any other new replica begins without a membership and joins.
func (r *Replica) loadIdentity(st *store.Store) error {
	id, ok, err := st.Identity()
	if err != nil {
		return err
	}
	if ok {
		r.self = id
		r.founders, err = st.Founders()
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
	if err := st.SetFounders(r.founders); err != nil {
		return err
	}
	return eris.Wrap(st.SetIdentity(r.self), "taking an identity")
}
