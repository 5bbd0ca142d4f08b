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

// A replica without an identity on disk is either new or has lost its disk. It
// may use its configured id only if every other voter vouches that no replica has
// used that id before; each voter persists the ids it has vouched for. Otherwise
// the replica generates a new id and joins as a learner.

// vouchRequest asks whether a replica may use its configured id. Nonce
// distinguishes successive starts with an empty data directory.
type vouchRequest struct {
	Group corianderwing.GroupID    `json:"group"`
	ID    corianderwing.InstanceID `json:"id"`
	Nonce corianderwing.InstanceID `json:"nonce"`
}

type vouchResponse struct {
	OK bool `json:"ok"`
}

var vouchMethod = peer.Method[vouchRequest, vouchResponse]{Name: "Vouch"}

// vouchStore persists the ids that this instance has vouched for in one file, which
// is synced on every change.
type vouchStore struct {
	mu     sync.Mutex
	file   string
	nonces map[string]corianderwing.InstanceID // by group/id
}

func openVouchStore(dir string) (*vouchStore, error) {
	v := &vouchStore{file: filepath.Join(dir, "vouched.json"), nonces: map[string]corianderwing.InstanceID{}}
	data, err := os.ReadFile(v.file)
	if errors.Is(err, fs.ErrNotExist) {
		return v, nil
	}
	if err != nil {
		return nil, eris.Wrap(err, "read vouched ids")
	}
	if err := json.Unmarshal(data, &v.nonces); err != nil {
		return nil, eris.Wrapf(err, "decode %s", v.file)
	}
	return v, nil
}

// vouch reports whether r is the first request for its id, or a repeat of the first
// one, and persists it if it is the first.
func (v *vouchStore) vouch(r *vouchRequest) (*vouchResponse, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	key := string(r.Group) + "/" + string(r.ID)
	if nonce, ok := v.nonces[key]; ok {
		return &vouchResponse{OK: nonce == r.Nonce}, nil
	}
	v.nonces[key] = r.Nonce
	if err := v.save(); err != nil {
		delete(v.nonces, key)
		return nil, err
	}
	return &vouchResponse{OK: true}, nil
}

// save atomically replaces the file and syncs both the file and its directory.
func (v *vouchStore) save() error {
	data, err := json.Marshal(v.nonces)
	if err != nil {
		return eris.Wrap(err, "encode vouched ids")
	}
	tmp := v.file + ".tmp"
	f, err := os.Create(tmp)
	if err != nil {
		return eris.Wrap(err, "create vouched ids file")
	}
	_, err = f.Write(data)
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		return eris.Wrap(err, "write vouched ids file")
	}
	if err := os.Rename(tmp, v.file); err != nil {
		return eris.Wrap(err, "replace vouched ids file")
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

// chooseID returns the replica's stored id. Without one it stores and returns the
// configured id if all others vouch for it, or else a new id, with which the
// replica has to join the group as a learner.
func (s *Server) chooseID(ctx context.Context, g corianderwing.GroupID, others []Voter, st *store.Store) (corianderwing.InstanceID, error) {
	id, ok, err := st.Identity()
	if err != nil || ok {
		return id, err
	}
	newID := store.NewIdentity(s.cfg.Self)
	id = s.cfg.Self
	for _, v := range others {
		first, err := s.requestVouch(ctx, v, &vouchRequest{Group: g, ID: s.cfg.Self, Nonce: newID})
		if err != nil {
			return "", err
		}
		if !first {
			id = newID
		}
	}
	return id, st.SetIdentity(id)
}

// requestVouch retries until the voter responds or ctx is done, because a replica
// cannot start without an identity.
func (s *Server) requestVouch(ctx context.Context, v Voter, req *vouchRequest) (bool, error) {
	for {
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		reply, err := peer.Call(attemptCtx, s.peer, v.Addr, vouchMethod, req)
		cancel()
		if err == nil {
			return reply.OK, nil
		}
		if !clock.Sleep(ctx, 2*retryDelay) {
			return false, eris.Wrapf(ctx.Err(), "ask %s to vouch for %s", v.ID, req.ID)
		}
	}
}

// joinRequest asks the leader to replace the earlier replicas of a process with a
// new one that has a new id.
type joinRequest struct {
	Group corianderwing.GroupID    `json:"group"`
	ID    corianderwing.InstanceID `json:"id"`
}

var joinMethod = peer.Method[joinRequest, empty]{Name: "Join"}

// join makes id a voter in place of earlier replicas of the same process. Each
// step is a separate membership change, and join is idempotent.
func (h *hostedReplica) join(ctx context.Context, id corianderwing.InstanceID) error {
	if _, err := h.leaderTerm(); err != nil {
		return err
	}
	members := h.group.Status().Voters
	if contains(members.Voters, id) {
		return nil
	}
	if !contains(members.Learners, id) {
		if err := h.changeMembership(ctx, raft.AddLearner, id); err != nil {
			return err
		}
	}
	for _, old := range append(members.Voters, members.Learners...) {
		if old != id && processID(old) == processID(id) {
			if err := h.changeMembership(ctx, raft.Remove, old); err != nil {
				return err
			}
		}
	}
	return h.changeMembership(ctx, raft.Promote, id)
}

func (h *hostedReplica) changeMembership(ctx context.Context, op raft.Op, id corianderwing.InstanceID) error {
	return h.group.ChangeVoters(ctx, raft.MembershipChange{Op: op, Instance: id})
}

// joinUntilVoter sends join requests to the leader until this replica is a voter.
func (s *Server) joinUntilVoter(ctx context.Context, h *hostedReplica) {
	for !contains(h.group.Status().Voters.Voters, h.self) {
		_, err := callLeader(ctx, s.client, h.id, func(ctx context.Context, addr string) (*empty, error) {
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

// suffixLen is the length of the suffix that store.NewIdentity appends to a
// process id: a dot and eight hexadecimal digits.
const suffixLen = 9

// processID returns the id of the process that a replica runs in.
func processID(id corianderwing.InstanceID) corianderwing.InstanceID {
	s := string(id)
	if len(s) <= suffixLen || s[len(s)-suffixLen] != '.' {
		return id
	}
	suffix := s[len(s)-suffixLen+1:]
	if strings.Trim(suffix, "0123456789abcdef") != "" {
		return id
	}
	return corianderwing.InstanceID(s[:len(s)-suffixLen])
}
