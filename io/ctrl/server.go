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
	Self    corianderwing.InstanceID
	Data    string                            // data directory
	Groups  map[corianderwing.GroupID][]Voter // every group of the deployment
	Log     *log.Logger                       // default: the package's default logger
	Broken  func(invariant, detail string)    // told about a broken invariant
	Records *record.Holder                    // holds shipped records; nil refuses them
	Links   []corianderwing.LinkCap           // all link directions
}

// Server is a control instance. It hosts a replica of each group that lists
// it as a voter.
type Server struct {
	cfg      Config
	log      *log.Logger
	peer     *peer.Client
	client   *Client
	vouchers *vouchers
	hosts    atomic.Pointer[map[corianderwing.GroupID]*host]

	mu     sync.Mutex // guards writes to hosts, and closed
	closed bool
}

// Status is the state of a control instance.
type Status struct {
	Instance corianderwing.InstanceID `json:"instance"`
	Groups   []GroupStatus            `json:"groups"`
}

// GroupStatus is the state of one replica and what it knows as leader.
type GroupStatus struct {
	group.Status
	Revision corianderwing.Revision `json:"revision"`
	Leases   int                    `json:"leases"` // unexpired freshness leases, at the leader
	Error    string                 `json:"error,omitempty"`
}

// NewServer returns a control instance that hosts nothing before Run.
func NewServer(cfg Config, pc *peer.Client) (*Server, error) {
	if cfg.Log == nil {
		cfg.Log = &log.DefaultLogger
	}
	if cfg.Broken == nil {
		cfg.Broken = func(string, string) {}
	}
	if err := os.MkdirAll(cfg.Data, 0o700); err != nil {
		return nil, eris.Wrap(err, "create data directory")
	}
	v, err := openVouchers(cfg.Data)
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg:      cfg,
		log:      cfg.Log,
		peer:     pc,
		client:   NewClient(pc, cfg.Groups),
		vouchers: v,
	}
	s.hosts.Store(&map[corianderwing.GroupID]*host{})
	return s, nil
}

// Register adds the calls of the control role to a peer server.
func (s *Server) Register(ps *peer.Server) {
	peer.Handle(ps, vouchMethod, func(_ context.Context, r *vouchRequest) (*vouchReply, error) {
		return s.vouchers.vouch(r)
	})
	peer.Handle(ps, stepMethod, s.step)
	peer.Handle(ps, proposeMethod, func(ctx context.Context, r *proposeRequest) (*corianderwing.Result, error) {
		return onHost(s, r.Group, func(h *host) (*corianderwing.Result, error) { return h.propose(ctx, r.Command) })
	})
	peer.Handle(ps, renewMethod, func(ctx context.Context, r *corianderwing.RenewRequest) (*corianderwing.RenewResponse, error) {
		return onHost(s, r.Group, func(h *host) (*corianderwing.RenewResponse, error) { return h.renew(ctx, r) })
	})
	peer.Handle(ps, leadMethod, func(ctx context.Context, r *leadRequest) (*Lead, error) {
		return onHost(s, r.Group, func(h *host) (*Lead, error) { return h.report(ctx) })
	})
	peer.Handle(ps, joinMethod, func(ctx context.Context, r *joinRequest) (*empty, error) {
		return onHost(s, r.Group, func(h *host) (*empty, error) { return &empty{}, h.join(ctx, r.ID) })
	})
	peer.Handle(ps, sampleMethod, func(ctx context.Context, r *SampleRequest) (*SampleReply, error) {
		return onHost(s, r.Group, func(h *host) (*SampleReply, error) { return h.sample(ctx, r) })
	})
	peer.HandleStream(ps, watchMethod, func(ctx context.Context, r *watchRequest, send func(*corianderwing.Update) error) error {
		_, err := onHost(s, r.Group, func(h *host) (*empty, error) { return nil, h.watch(ctx, r.After, send) })
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
		return &empty{}, s.cfg.Records.Take(*b)
	})
	peer.Handle(ps, findMethod, func(_ context.Context, q *corianderwing.Query) (*record.Found, error) {
		if s.cfg.Records == nil {
			return &record.Found{}, nil
		}
		found := s.cfg.Records.Find(*q)
		return &found, nil
	})
}

// Run starts the replica of each group that lists this instance, and returns
// when all have started or ctx ends. The peer server must be serving: voters
// vouch for each other before they start.
func (s *Server) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	errs := make(chan error, len(s.cfg.Groups))
	for id, voters := range s.cfg.Groups {
		if !lists(voters, s.cfg.Self) {
			continue
		}
		wg.Go(func() { errs <- s.open(ctx, id, voters) })
	}
	wg.Wait()
	close(errs)
	var all []error
	for err := range errs {
		all = append(all, err)
	}
	return errors.Join(all...)
}

func lists(voters []Voter, id corianderwing.InstanceID) bool {
	for _, v := range voters {
		if v.ID == id {
			return true
		}
	}
	return false
}

// open starts the replica of one group. A replica whose disk holds damage is
// wiped first: it must not vote under an identity whose history it lost.
func (s *Server) open(ctx context.Context, id corianderwing.GroupID, voters []Voter) error {
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
	self, err := s.identify(ctx, id, others, st)
	if err != nil {
		return errors.Join(err, st.Close())
	}
	h := &host{id: id, self: self, broken: s.cfg.Broken, links: s.cfg.Links}
	h.machine = state.New(id, state.WithViolationHandler(s.cfg.Broken))
	cfg := group.Config{
		Group:       id,
		Self:        self,
		Voters:      corianderwing.Membership{Voters: idsOf(voters)},
		Seed:        uint64(time.Now().UnixNano()),
		Logger:      s.log,
		OnViolation: func(detail string) { s.cfg.Broken("raft", detail) },
	}
	h.group, err = group.Open(cfg, loadedStore{st, stored}, h.machine, newSender(ctx, id, s.peer, others))
	if err != nil {
		return errors.Join(eris.Wrapf(err, "open group %s", id), st.Close())
	}
	s.add(h)
	go h.endMoves(ctx)
	if self != s.cfg.Self {
		go s.keepJoining(ctx, h)
	}
	return nil
}

// openStore opens and loads the store of a group.
func (s *Server) openStore(id corianderwing.GroupID) (*store.Store, corianderwing.StoredState, error) {
	st, err := store.OpenDir(filepath.Join(s.cfg.Data, string(id)))
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

// loadedStore is a store that has been loaded, so that its identity could be
// read before the replica starts.
type loadedStore struct {
	*store.Store
	stored corianderwing.StoredState
}

// Load implements corianderwing.Store.
func (l loadedStore) Load() (corianderwing.StoredState, error) { return l.stored, nil }

func idsOf(voters []Voter) []corianderwing.InstanceID {
	ids := make([]corianderwing.InstanceID, len(voters))
	for i, v := range voters {
		ids[i] = v.ID
	}
	return ids
}

func (s *Server) add(h *host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		h.group.Close()
		return
	}
	next := map[corianderwing.GroupID]*host{h.id: h}
	for id, other := range *s.hosts.Load() {
		next[id] = other
	}
	s.hosts.Store(&next)
}

// step hands consensus messages to their group. Messages to an earlier
// replica of this process are dropped.
func (s *Server) step(_ context.Context, r *stepRequest) (*empty, error) {
	return onHost(s, r.Group, func(h *host) (*empty, error) {
		for _, m := range r.Messages {
			if m.To == h.self {
				h.group.Receive(m)
			}
		}
		return &empty{}, nil
	})
}

// onHost calls f with the replica of a group.
func onHost[T any](s *Server, id corianderwing.GroupID, f func(*host) (*T, error)) (*T, error) {
	h := (*s.hosts.Load())[id]
	if h == nil {
		return nil, corianderwing.Errorf(corianderwing.NoLeader, "%s has no running replica of group %s", s.cfg.Self, id)
	}
	return f(h)
}

// View returns this replica's view of a group, which may be behind.
func (s *Server) View(id corianderwing.GroupID) (*state.View, bool) {
	h := (*s.hosts.Load())[id]
	if h == nil {
		return nil, false
	}
	return h.machine.View(), true
}

// Status returns the state of every hosted replica.
func (s *Server) Status() Status {
	status := Status{Instance: s.cfg.Self}
	now := time.Now()
	for _, h := range *s.hosts.Load() {
		gs := GroupStatus{Status: h.group.Status(), Revision: h.machine.View().Revision()}
		if gs.Role == raft.Leader {
			_, gs.Leases = h.leases.force(gs.Revision, now)
		}
		if gs.Err != nil {
			gs.Error = gs.Err.Error()
		}
		status.Groups = append(status.Groups, gs)
	}
	return status
}

// Close hands over leadership and stops every replica.
func (s *Server) Close(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	hosts := *s.hosts.Load()
	s.mu.Unlock()
	var all []error
	for _, h := range hosts {
		if leader, _ := h.group.Leader(); leader == h.self {
			// Without a transfer the others elect a leader after a timeout.
			if err := h.group.Transfer(ctx); err != nil {
				s.log.Info().Str("group", string(h.id)).Err(err).Msg("leadership was not transferred")
			}
		}
		all = append(all, h.group.Close())
	}
	return errors.Join(all...)
}

// Kill stops every replica without handing over anything, as a crash would.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, h := range *s.hosts.Load() {
		h.group.Close()
	}
}
