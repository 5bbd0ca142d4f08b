package ctrl

import (
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"corianderwing"
	"corianderwing/core/raft"
	"corianderwing/io/clock"
	"corianderwing/io/peer"
	"corianderwing/io/store"
)

// A replica without an identity on its disk is either new or has lost its
// disk. It may take its configured id only if every other voter vouches that
// no replica has taken that id before; each voter stores for whom it vouched.
// Otherwise it takes a fresh id and joins as a learner.

// vouchRequest asks whether a replica may take its configured id. Nonce tells
// two lives of an empty data directory apart.
type vouchRequest struct {
	Group corianderwing.GroupID    `json:"group"`
	ID    corianderwing.InstanceID `json:"id"`
	Nonce corianderwing.InstanceID `json:"nonce"`
}

type vouchReply struct {
	OK bool `json:"ok"`
}

var vouchMethod = peer.Method[vouchRequest, vouchReply]{Name: "Vouch"}

// vouchers remembers for whom this instance vouched, in one synced file.
type vouchers struct {
	mu   sync.Mutex
	file string
	seen map[string]corianderwing.InstanceID // group/id to nonce
}

func openVouchers(dir string) (*vouchers, error) {
	v := &vouchers{file: filepath.Join(dir, "vouched.json"), seen: map[string]corianderwing.InstanceID{}}
	data, err := os.ReadFile(v.file)
	if errors.Is(err, fs.ErrNotExist) {
		return v, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read vouchers")
	}
	if err := json.Unmarshal(data, &v.seen); err != nil {
		return nil, eris.Wrapf(err, "decode %s", v.file)
	}
	return v, nil
}

// vouch reports whether r is the first to take the id, and stores that it is.
func (v *vouchers) vouch(r *vouchRequest) (*vouchReply, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	key := string(r.Group) + "/" + string(r.ID)
	if nonce, ok := v.seen[key]; ok {
		return &vouchReply{OK: nonce == r.Nonce}, nil
	}
	v.seen[key] = r.Nonce
	if err := v.save(); err != nil {
		delete(v.seen, key)
		return nil, err
	}
	return &vouchReply{OK: true}, nil
}

// save replaces the file and syncs it and its directory.
func (v *vouchers) save() error {
	data, err := json.Marshal(v.seen)
	if err != nil {
		return eris.Wrap(err, "encode vouchers")
	}
	tmp := v.file + ".tmp"
	f, err := os.Create(tmp)
	if err != nil {
		return eris.Wrap(err, "create vouchers")
	}
	_, err = f.Write(data)
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		return eris.Wrap(err, "write vouchers")
	}
	if err := os.Rename(tmp, v.file); err != nil {
		return eris.Wrap(err, "replace vouchers")
	}
	return syncDir(filepath.Dir(v.file))
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return eris.Wrap(err, "open directory")
	}
	return eris.Wrapf(errors.Join(d.Sync(), d.Close()), "sync directory %s", dir)
}

// identify returns the id under which this replica takes part, and whether it
// has to join the group as a learner.
func (s *Server) identify(ctx context.Context, g corianderwing.GroupID, others []Voter, st *store.Store) (corianderwing.InstanceID, error) {
	id, ok, err := st.Identity()
	if err != nil || ok {
		return id, err
	}
	fresh := store.NewIdentity(s.cfg.Self)
	id = s.cfg.Self
	for _, v := range others {
		first, err := s.askVouch(ctx, v, &vouchRequest{Group: g, ID: s.cfg.Self, Nonce: fresh})
		if err != nil {
			return "", err
		}
		if !first {
			id = fresh
		}
	}
	return id, st.SetIdentity(id)
}

// askVouch asks one voter until it answers. A replica without an identity
// cannot do anything else.
func (s *Server) askVouch(ctx context.Context, v Voter, req *vouchRequest) (bool, error) {
	for {
		tryCtx, cancel := context.WithTimeout(ctx, tryTimeout)
		reply, err := peer.Call(tryCtx, s.peer, v.Addr, vouchMethod, req)
		cancel()
		if err == nil {
			return reply.OK, nil
		}
		if !clock.Sleep(ctx, 2*roundPause) {
			return false, eris.Wrapf(ctx.Err(), "ask %s to vouch for %s", v.ID, req.ID)
		}
	}
}

// joinRequest asks the leader to replace the replicas of a process by a new
// one with a fresh id.
type joinRequest struct {
	Group corianderwing.GroupID    `json:"group"`
	ID    corianderwing.InstanceID `json:"id"`
}

var joinMethod = peer.Method[joinRequest, empty]{Name: "Join"}

// join makes id a voter in place of earlier replicas of the same process. Each
// step is a membership change of its own. It is safe to repeat.
func (h *host) join(ctx context.Context, id corianderwing.InstanceID) error {
	if _, err := h.lead(); err != nil {
		return err
	}
	members := h.group.Status().Voters
	if contains(members.Voters, id) {
		return nil
	}
	if !contains(members.Learners, id) {
		if err := h.change(ctx, raft.AddLearner, id); err != nil {
			return err
		}
	}
	for _, old := range append(members.Voters, members.Learners...) {
		if old != id && processOf(old) == processOf(id) {
			if err := h.change(ctx, raft.Remove, old); err != nil {
				return err
			}
		}
	}
	return h.change(ctx, raft.Promote, id)
}

func (h *host) change(ctx context.Context, op raft.Op, id corianderwing.InstanceID) error {
	return h.group.ChangeVoters(ctx, raft.MembershipChange{Op: op, Instance: id})
}

// keepJoining asks the leader to make this replica a voter until it is one.
func (s *Server) keepJoining(ctx context.Context, h *host) {
	for !contains(h.group.Status().Voters.Voters, h.self) {
		_, err := onLeader(ctx, s.client, h.id, func(ctx context.Context, addr string) (*empty, error) {
			return peer.Call(ctx, s.peer, addr, joinMethod, &joinRequest{Group: h.id, ID: h.self})
		})
		if err != nil {
			s.log.Info().Str("group", string(h.id)).Err(err).Msg("not a voter yet")
		}
		if !clock.Sleep(ctx, time.Second) {
			return
		}
	}
	s.log.Info().Str("group", string(h.id)).Str("id", string(h.self)).Msg("joined as a voter")
}

func contains(ids []corianderwing.InstanceID, id corianderwing.InstanceID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

// freshLen is the length of what store.NewIdentity appends to a process's id:
// a dot and eight hexadecimal digits.
const freshLen = 9

// processOf returns the id of the process that a replica runs in.
func processOf(id corianderwing.InstanceID) corianderwing.InstanceID {
	s := string(id)
	if len(s) <= freshLen || s[len(s)-freshLen] != '.' {
		return id
	}
	suffix := s[len(s)-freshLen+1:]
	if strings.Trim(suffix, "0123456789abcdef") != "" {
		return id
	}
	return corianderwing.InstanceID(s[:len(s)-freshLen])
}
