package entry

import (
	"context"
	"encoding/json"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"corianderwing"
	"corianderwing/core/retry"
	"corianderwing/io/relay"
)

// maxHops bounds hand-overs of one request: the first entry instance hands it
// to an owner, which never hands it on.
const maxHops = 1

// peer is another entry instance's inner listener.
type peer struct {
	relay.ConnPool
	delay atomic.Int64 // smoothed time there and back without its work, ns
}

// ownerWait is the time between two looks for a pool owner. Ownership moves
// when instances start, stop or freeze, and is settled again within moments.
const ownerWait = 25 * time.Millisecond

// steer brings a request to an upstream. While no instance owns the pool, it
// waits as long as the route allows for a slot.
func (s *Server) steer(ctx context.Context, j *job) (*reply, *corianderwing.Error) {
	giveUp := j.wait.After(time.Now())
	for {
		rep, e := s.round(ctx, j)
		if e == nil || e.Code != corianderwing.NotOwner || e.Execution != corianderwing.NotExecuted || j.hops > 0 {
			return rep, e
		}
		next := time.Now().Add(ownerWait)
		if next.After(giveUp) || next.After(j.deadline) || s.again(j, e) == retry.NoRetry || pause(ctx, ownerWait) != nil {
			return nil, e
		}
		s.refresh(j.pool)
	}
}

// round tries the pool owner of the best failure domain, and others if the
// request did not run there.
func (s *Server) round(ctx context.Context, j *job) (*reply, *corianderwing.Error) {
	if s.cfg.Fleet.Owns(j.pool) {
		now := time.Now()
		p := s.pool(j.pool)
		if sl, ok := p.try(j, now); ok {
			rep, e := s.at(ctx, j, p, sl, now)
			if e == nil || s.again(j, e) == retry.NoRetry {
				return rep, e
			}
			return s.elsewhere(ctx, j, e)
		}
	}
	return s.elsewhere(ctx, j, nil)
}

// elsewhere tries the failure domains in turn. If last is set, the own one has
// been tried already and failed with it.
func (s *Server) elsewhere(ctx context.Context, j *job, last *corianderwing.Error) (*reply, *corianderwing.Error) {
	home := last != nil
	s.earn(j)
	for _, pl := range s.places(j, time.Now()) {
		if last != nil {
			if home && pl.owner.ID == s.self.ID {
				continue
			}
			if !s.mayMove(j, last) {
				return nil, last
			}
		}
		rep, e := s.in(ctx, j, pl)
		if e == nil {
			return rep, nil
		}
		e = sinceLast(last, e)
		last = e
		if s.again(j, e) == retry.NoRetry {
			return nil, e
		}
	}
	if last == nil {
		last = corianderwing.Errorf(corianderwing.NoUpstream, "pool %s has no owner in any failure domain", j.pool)
	}
	return nil, last
}

// earn and spend use the budget of retries in other failure domains.
func (s *Server) earn(j *job) {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	s.budget.Deposit(j.pool, j.workspace, time.Now())
}

func (s *Server) spend(j *job) bool {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	return s.budget.Withdraw(j.pool, j.workspace, time.Now())
}

// mayMove takes a retry token where another try would add load: an owner that
// is gone or has no upstreams was not loaded by the request.
func (s *Server) mayMove(j *job, e *corianderwing.Error) bool {
	switch e.Code {
	case corianderwing.NoUpstream, corianderwing.NotOwner, corianderwing.Stopping, corianderwing.LinkFull:
		return true
	case corianderwing.ConnectFailed:
		if len(j.attempts) == 0 {
			return true
		}
	}
	return s.spend(j)
}

// in runs a request in one failure domain.
func (s *Server) in(ctx context.Context, j *job, pl place) (*reply, *corianderwing.Error) {
	if pl.owner.ID == s.self.ID {
		return s.local(ctx, j)
	}
	if j.hops >= maxHops {
		return nil, corianderwing.Errorf(corianderwing.NotOwner, "request was handed over %d times", j.hops)
	}
	return s.hop(ctx, j, pl.owner)
}

// hop hands a request over to the owner of a pool.
func (s *Server) hop(ctx context.Context, j *job, owner corianderwing.Instance) (*reply, *corianderwing.Error) {
	pace, e := s.bookRequest(ctx, j, owner.Region)
	if e != nil {
		return nil, e
	}
	defer pace.settle()
	start := time.Now()
	pr := s.peer(owner.InternalAddr)
	first := s.hopDeadline(j, start)
	// The owner's refusal should arrive before we give up on the owner.
	back := time.Duration(pr.delay.Load()) + 5*time.Millisecond
	back += min(first.Sub(start)/50, 50*time.Millisecond)
	a, e := relay.Send(ctx, relay.Call{
		Conns:             &pr.ConnPool,
		Method:            j.method,
		URI:               j.uri,
		Host:              j.host,
		Header:            j.header,
		AttemptHeader:     s.hopHeader(j, first.Add(-back), start, pace != nil),
		Body:              j.body,
		ID:                j.id,
		NewConn:           j.once && !s.opt.reuse,
		FirstByteDeadline: first,
		WrapWriter:        pace.wrap(),
		EchoHeader:        hRequest,
	})
	if e != nil {
		s.lost(pr, owner, e, time.Since(start))
		return nil, e
	}
	tried := parseTried(a.Header.Get(hTried))
	j.attempts = append(j.attempts, tried...)
	j.tries -= len(tried)
	if us, err := strconv.ParseInt(a.Header.Get(hTook), 10, 64); err == nil {
		if d := time.Since(start) - time.Duration(us)*time.Microsecond; d > 0 {
			smooth(&pr.delay, d)
		}
	}
	switch a.Header.Get(hCode) {
	case "100":
		smooth(s.typical(j), time.Since(start))
		return &reply{Response: a}, nil
	case "":
		a.Discard()
		return nil, corianderwing.Errorf(corianderwing.ResponseMismatch, "owner %s sent no result code", owner.ID)
	}
	e = refusalOf(a)
	s.noteFull(owner.Region, e)
	return nil, e
}

// hopHeader returns the headers of a hand-over. Far tells that it crosses a
// link between regions, so that the owner paces the answer.
func (s *Server) hopHeader(j *job, deadline, now time.Time, far bool) []relay.HeaderField {
	h := append(attemptHeader(j, deadline, now, 7),
		relay.HeaderField{Name: hPool, Value: string(j.pool)},
		relay.HeaderField{Name: hTries, Value: strconv.Itoa(j.tries)},
		relay.HeaderField{Name: hWait, Value: strconv.FormatInt(int64(j.wait), 10)},
		relay.HeaderField{Name: hHops, Value: strconv.Itoa(j.hops + 1)},
		relay.HeaderField{Name: hToken, Value: s.token},
	)
	if j.once {
		h = append(h, relay.HeaderField{Name: hOnce, Value: "1"})
	}
	if far {
		h = append(h, relay.HeaderField{Name: hRegion, Value: string(s.self.Region)})
	}
	return h
}

// hopDeadline returns when the owner must have answered. While the request may
// go elsewhere, a quarter of the time is kept for that.
func (s *Server) hopDeadline(j *job, now time.Time) time.Time {
	if j.once || j.tries <= 1 || j.body.Rest != nil {
		return j.deadline
	}
	return s.part(j, now, j.deadline.Sub(now)*3/4)
}

// patience is the shortest silence that says something about an owner: a
// caller may set a deadline that nobody can meet.
const patience = 250 * time.Millisecond

// lost reacts to an owner that could not be reached or did not answer.
func (s *Server) lost(pr *peer, owner corianderwing.Instance, e *corianderwing.Error, waited time.Duration) {
	switch e.Code {
	case corianderwing.FirstByteTimeout:
		pr.Reset()
		if waited < patience {
			return
		}
	case corianderwing.ConnectFailed, corianderwing.SendFailed:
	default:
		return
	}
	s.suspect.Store(owner.ID, time.Now().Add(suspicion))
}

// refusalOf reads the owner's refusal.
func refusalOf(a *relay.Response) *corianderwing.Error {
	defer a.Discard()
	var e corianderwing.Error
	raw, err := io.ReadAll(io.LimitReader(a, 64<<10))
	if err == nil {
		err = json.Unmarshal(raw, &e)
	}
	if err != nil || e.Code < 200 || e.Code.Text() == "" {
		return corianderwing.Errorf(corianderwing.ResponseTruncated, "owner's refusal cannot be read: %v", err)
	}
	return &e
}

func (s *Server) peer(addr string) *peer {
	if h, ok := s.hosts.Load(addr); ok {
		return h.(*peer)
	}
	h, _ := s.hosts.LoadOrStore(addr, &peer{ConnPool: relay.ConnPool{Addr: addr, Dial: s.opt.dial, MaxIdle: 256}})
	return h.(*peer)
}
