package ctrl

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"corianderwing"
	"corianderwing/core/raft"
	"corianderwing/core/state"
	"corianderwing/io/group"
	"corianderwing/io/peer"
	"corianderwing/io/record"
	"corianderwing/io/store"
)

// Config describes a control instance.
type Config struct {
	Self        corianderwing.InstanceID
	DataDir     string                            // data directory
	Groups      map[corianderwing.GroupID][]Voter // every group of the deployment
	Log         *log.Logger                       // default: the package's default logger
	OnViolation func(invariant, detail string)    // called when an invariant is violated
	Records     *record.Holder                    // stores shipped records; nil rejects them
	Links       []corianderwing.LinkCap           // all link directions
}

// Server is a control instance. It hosts a replica of each group that is configured
// with it as a voter.
type Server struct {
	cfg      Config
	log      *log.Logger
	peer     *peer.Client
	client   *Client
	vouches  *vouchStore
	replicas atomic.Pointer[map[corianderwing.GroupID]*hostedReplica]

	mu     sync.Mutex // guards writes to replicas, and closed
	closed bool
}

// Status is the state of a control instance.
type Status struct {
	Instance corianderwing.InstanceID `json:"instance"`
	Groups   []GroupStatus            `json:"groups"`
}

// GroupStatus is the state of one replica, and of the group's leases if it leads.
type GroupStatus struct {
	group.Status
	Revision corianderwing.Revision `json:"revision"`
	Leases   int                    `json:"leases"` // unexpired freshness leases, at the leader
	Error    string                 `json:"error,omitempty"`
}

// NewServer returns a control instance. It hosts no replicas until Run is called.
func NewServer(cfg Config, pc *peer.Client) (*Server, error) {
	if cfg.Log == nil {
		cfg.Log = &log.DefaultLogger
	}
	if cfg.OnViolation == nil {
		cfg.OnViolation = func(string, string) {}
	}
	if err := os.MkdirAll(cfg.DataDir, 0o700); err != nil {
		return nil, eris.Wrap(err, "create data directory")
	}
	v, err := openVouchStore(cfg.DataDir)
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg:     cfg,
		log:     cfg.Log,
		peer:    pc,
		client:  NewClient(pc, cfg.Groups),
		vouches: v,
	}
	s.replicas.Store(&map[corianderwing.GroupID]*hostedReplica{})
	return s, nil
}

// Register adds the RPC handlers of the control role to a peer server.
func (s *Server) Register(ps *peer.Server) {
	peer.Handle(ps, vouchMethod, func(_ context.Context, r *vouchRequest) (*vouchResponse, error) {
		return s.vouches.vouch(r)
	})
	peer.Handle(ps, stepMethod, s.step)
	peer.Handle(ps, proposeMethod, func(ctx context.Context, r *proposeRequest) (*corianderwing.Result, error) {
		return withReplica(s, r.Group, func(h *hostedReplica) (*corianderwing.Result, error) { return h.propose(ctx, r.Command) })
	})
	peer.Handle(ps, renewMethod, func(ctx context.Context, r *corianderwing.RenewRequest) (*corianderwing.RenewResponse, error) {
		return withReplica(s, r.Group, func(h *hostedReplica) (*corianderwing.RenewResponse, error) { return h.renew(ctx, r) })
	})
	peer.Handle(ps, leadMethod, func(ctx context.Context, r *leadRequest) (*LeaderStatus, error) {
		return withReplica(s, r.Group, func(h *hostedReplica) (*LeaderStatus, error) { return h.leaderStatus(ctx) })
	})
	peer.Handle(ps, joinMethod, func(ctx context.Context, r *joinRequest) (*empty, error) {
		return withReplica(s, r.Group, func(h *hostedReplica) (*empty, error) { return &empty{}, h.join(ctx, r.ID) })
	})
	peer.Handle(ps, sampleMethod, func(ctx context.Context, r *SampleRequest) (*SampleResponse, error) {
		return withReplica(s, r.Group, func(h *hostedReplica) (*SampleResponse, error) { return h.observeSamples(ctx, r) })
	})
	peer.HandleStream(ps, watchMethod, func(ctx context.Context, r *watchRequest, send func(*corianderwing.Update) error) error {
		_, err := withReplica(s, r.Group, func(h *hostedReplica) (*empty, error) { return nil, h.watch(ctx, r.After, send) })
		return err
	})
	peer.Handle(ps, statusMethod, func(context.Context, *empty) (*Status, error) {
		status := s.Status()
		return &status, nil
	})
	s.registerRecords(ps)
}

func (s *Server) registerRecords(ps *peer.Server) {
	peer.Handle(ps, shipMethod, func(_ context.Context, b *record.Batch) (*empty, error) {
		if s.cfg.Records == nil {
			return nil, corianderwing.Errorf(corianderwing.NotFound, "%s holds no records", s.cfg.Self)
		}
		return &empty{}, s.cfg.Records.Store(*b)
	})
	peer.Handle(ps, findMethod, func(_ context.Context, q *corianderwing.Query) (*record.QueryResult, error) {
		if s.cfg.Records == nil {
			return &record.QueryResult{}, nil
		}
		found := s.cfg.Records.Find(*q)
		return &found, nil
	})
}

// Run starts the replica of each group that has this instance as a voter, and
// returns when all have started or ctx is done. The peer server must already be
// serving, because new voters vouch for each other before they start.
func (s *Server) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	errs := make(chan error, len(s.cfg.Groups))
	for id, voters := range s.cfg.Groups {
		if !hasVoter(voters, s.cfg.Self) {
			continue
		}
		wg.Go(func() { errs <- s.openReplica(ctx, id, voters) })
	}
	wg.Wait()
	close(errs)
	var all []error
	for err := range errs {
		all = append(all, err)
	}
	return errors.Join(all...)
}

func hasVoter(voters []Voter, id corianderwing.InstanceID) bool {
	for _, v := range voters {
		if v.ID == id {
			return true
		}
	}
	return false
}

// openReplica starts the replica of one group. A replica with a damaged log is wiped
// first, because it must not vote under an identity whose history it has lost.
func (s *Server) openReplica(ctx context.Context, id corianderwing.GroupID, voters []Voter) error {
	st, stored, err := s.openStore(id)
	if err != nil {
		return err
	}
	var others []Voter
	for _, v := range voters {
		if v.ID != s.cfg.Self {
			others = append(others, v)
		}
	}
	self, err := s.chooseID(ctx, id, others, st)
	if err != nil {
		return errors.Join(err, st.Close())
	}
	h := &hostedReplica{id: id, self: self, onViolation: s.cfg.OnViolation, links: s.cfg.Links}
	h.machine = state.New(id, state.WithViolationHandler(s.cfg.OnViolation))
	cfg := group.Config{
		Group:       id,
		Self:        self,
		Voters:      corianderwing.Membership{Voters: voterIDs(voters)},
		Seed:        uint64(time.Now().UnixNano()),
		Logger:      s.log,
		OnViolation: func(detail string) { s.cfg.OnViolation("raft", detail) },
	}
	h.group, err = group.Open(cfg, loadedStore{st, stored}, h.machine, newSender(ctx, id, s.peer, others))
	if err != nil {
		return errors.Join(eris.Wrapf(err, "open group %s", id), st.Close())
	}
	s.addReplica(h)
	go h.endMoves(ctx)
	if self != s.cfg.Self {
		go s.joinUntilVoter(ctx, h)
	}
	return nil
}

// openStore opens and loads the store of a group.
func (s *Server) openStore(id corianderwing.GroupID) (*store.Store, corianderwing.StoredState, error) {
	st, err := store.OpenDir(filepath.Join(s.cfg.DataDir, string(id)))
	if err != nil {
		return nil, corianderwing.StoredState{}, eris.Wrapf(err, "open store of group %s", id)
	}
	stored, err := st.Load()
	var damage *store.CorruptionError
	if errors.As(err, &damage) {
		s.log.Error().Str("group", string(id)).Err(err).Msg("the log is damaged; rebuilding this replica under a new identity")
		err = st.Wipe()
		if err == nil {
			stored, err = st.Load()
		}
	}
	if err != nil {
		return nil, stored, errors.Join(eris.Wrapf(err, "load store of group %s", id), st.Close())
	}
	return st, stored, nil
}

// loadedStore is a store that is already loaded. The store has to be loaded before
// the replica starts, to read its identity.
type loadedStore struct {
	*store.Store
	stored corianderwing.StoredState
}

// Load implements corianderwing.Store.
func (l loadedStore) Load() (corianderwing.StoredState, error) { return l.stored, nil }

func voterIDs(voters []Voter) []corianderwing.InstanceID {
	ids := make([]corianderwing.InstanceID, len(voters))
	for i, v := range voters {
		ids[i] = v.ID
	}
	return ids
}

func (s *Server) addReplica(h *hostedReplica) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		h.group.Close()
		return
	}
	next := map[corianderwing.GroupID]*hostedReplica{h.id: h}
	for id, other := range *s.replicas.Load() {
		next[id] = other
	}
	s.replicas.Store(&next)
}

// step delivers consensus messages to their group. Messages addressed to an earlier
// replica of this process are dropped.
func (s *Server) step(_ context.Context, r *stepRequest) (*empty, error) {
	return withReplica(s, r.Group, func(h *hostedReplica) (*empty, error) {
		for _, m := range r.Messages {
			if m.To == h.self {
				h.group.Receive(m)
			}
		}
		return &empty{}, nil
	})
}

// withReplica calls f with this instance's replica of a group, or returns a NoLeader
// error if there is none.
func withReplica[T any](s *Server, id corianderwing.GroupID, f func(*hostedReplica) (*T, error)) (*T, error) {
	h := (*s.replicas.Load())[id]
	if h == nil {
		return nil, corianderwing.Errorf(corianderwing.NoLeader, "%s has no running replica of group %s", s.cfg.Self, id)
	}
	return f(h)
}

// View returns the local replica's view of a group, which may be stale.
func (s *Server) View(id corianderwing.GroupID) (*state.View, bool) {
	h := (*s.replicas.Load())[id]
	if h == nil {
		return nil, false
	}
	return h.machine.View(), true
}

// Status returns the state of every hosted replica.
func (s *Server) Status() Status {
	status := Status{Instance: s.cfg.Self}
	now := time.Now()
	for _, h := range *s.replicas.Load() {
		gs := GroupStatus{Status: h.group.Status(), Revision: h.machine.View().Revision()}
		if gs.Role == raft.Leader {
			_, gs.Leases = h.leases.inForce(gs.Revision, now)
		}
		if gs.Err != nil {
			gs.Error = gs.Err.Error()
		}
		status.Groups = append(status.Groups, gs)
	}
	return status
}

// Close transfers leadership to other replicas and stops every local replica.
func (s *Server) Close(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	replicas := *s.replicas.Load()
	s.mu.Unlock()
	var all []error
	for _, h := range replicas {
		if leader, _ := h.group.Leader(); leader == h.self {
			// If the transfer fails, the others elect a leader after a timeout.
			if err := h.group.Transfer(ctx); err != nil {
				s.log.Info().Str("group", string(h.id)).Err(err).Msg("leadership was not transferred")
			}
		}
		all = append(all, h.group.Close())
	}
	return errors.Join(all...)
}

// Kill stops every replica without transferring leadership, to simulate a crash.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, h := range *s.replicas.Load() {
		h.group.Close()
	}
}
