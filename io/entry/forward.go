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
	rtt atomic.Int64 // smoothed time there and back without its work, ns
}

// ownerPollInterval is the time between two looks for a pool owner. Ownership moves
// when instances start, stop or freeze, and is settled again within moments.
const ownerPollInterval = 25 * time.Millisecond

// forward brings a request to an upstream. While no instance owns the pool, it
// waits as long as the route allows for a slot.
func (s *Server) forward(ctx context.Context, j *job) (*response, *corianderwing.Error) {
	giveUp := j.maxWait.After(time.Now())
	for {
		rep, e := s.tryDomains(ctx, j)
		if e == nil || e.Code != corianderwing.NotOwner || e.Execution != corianderwing.NotExecuted || j.hops > 0 {
			return rep, e
		}
		next := time.Now().Add(ownerPollInterval)
		if next.After(giveUp) || next.After(j.deadline) || s.retryScope(j, e) == retry.NoRetry || pause(ctx, ownerPollInterval) != nil {
			return nil, e
		}
		s.refreshSnapshot(j.pool)
	}
}

// tryDomains tries the pool owner of the best failure domain, and others if the
// request did not run there.
func (s *Server) tryDomains(ctx context.Context, j *job) (*response, *corianderwing.Error) {
	if s.cfg.Fleet.Owns(j.pool) {
		now := time.Now()
		p := s.pool(j.pool)
		if sl, ok := p.tryAcquire(j, now); ok {
			rep, e := s.runInSlot(ctx, j, p, sl, now)
			if e == nil || s.retryScope(j, e) == retry.NoRetry {
				return rep, e
			}
			return s.tryCandidates(ctx, j, e)
		}
	}
	return s.tryCandidates(ctx, j, nil)
}

// tryCandidates tries the failure domains in turn. If last is set, the own one has
// been tried already and failed with it.
func (s *Server) tryCandidates(ctx context.Context, j *job, last *corianderwing.Error) (*response, *corianderwing.Error) {
	triedLocal := last != nil
	s.depositRetry(j)
	for _, cand := range s.candidates(j, time.Now()) {
		if last != nil {
			if triedLocal && cand.owner.ID == s.self.ID {
				continue
			}
			if !s.mayRetryElsewhere(j, last) {
				return nil, last
			}
		}
		rep, e := s.tryCandidate(ctx, j, cand)
		if e == nil {
			return rep, nil
		}
		e = mergeFailure(last, e)
		last = e
		if s.retryScope(j, e) == retry.NoRetry {
			return nil, e
		}
	}
	if last == nil {
		last = corianderwing.Errorf(corianderwing.NoUpstream, "pool %s has no owner in any failure domain", j.pool)
	}
	return nil, last
}

// depositRetry and spend use the budget of retries in other failure domains.
func (s *Server) depositRetry(j *job) {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	s.budget.Deposit(j.pool, j.workspace, time.Now())
}

func (s *Server) withdrawRetry(j *job) bool {
	s.budgetMu.Lock()
	defer s.budgetMu.Unlock()
	return s.budget.Withdraw(j.pool, j.workspace, time.Now())
}

// mayRetryElsewhere takes a retry token where another try would add load: an owner that
// is gone or has no upstreams was not loaded by the request.
func (s *Server) mayRetryElsewhere(j *job, e *corianderwing.Error) bool {
	switch e.Code {
	case corianderwing.NoUpstream, corianderwing.NotOwner, corianderwing.Stopping, corianderwing.LinkFull:
		return true
	case corianderwing.ConnectFailed:
		if len(j.attempts) == 0 {
			return true
		}
	}
	return s.withdrawRetry(j)
}

// tryCandidate runs a request tryCandidate one failure domain.
func (s *Server) tryCandidate(ctx context.Context, j *job, cand candidate) (*response, *corianderwing.Error) {
	if cand.owner.ID == s.self.ID {
		return s.runLocal(ctx, j)
	}
	if j.hops >= maxHops {
		return nil, corianderwing.Errorf(corianderwing.NotOwner, "request was handed over %d times", j.hops)
	}
	return s.forwardTo(ctx, j, cand.owner)
}

// forwardTo hands a request over to the owner of a pool.
func (s *Server) forwardTo(ctx context.Context, j *job, owner corianderwing.Instance) (*response, *corianderwing.Error) {
	pace, e := s.reserveRequest(ctx, j, owner.Region)
	if e != nil {
		return nil, e
	}
	defer pace.release()
	start := time.Now()
	pr := s.peer(owner.InternalAddr)
	firstByte := s.forwardDeadline(j, start)
	// The owner's refusal should arrive before we give up on the owner.
	margin := time.Duration(pr.rtt.Load()) + 5*time.Millisecond
	margin += min(firstByte.Sub(start)/50, 50*time.Millisecond)
	a, e := relay.Send(ctx, relay.Call{
		Conns:             &pr.ConnPool,
		Method:            j.method,
		URI:               j.uri,
		Host:              j.host,
		Header:            j.header,
		AttemptHeader:     s.forwardHeader(j, firstByte.Add(-margin), start, pace != nil),
		Body:              j.body,
		ID:                j.id,
		NewConn:           j.atMostOnce && !s.opt.reuseConns,
		FirstByteDeadline: firstByte,
		WrapWriter:        pace.wrapWriter(),
		EchoHeader:        hRequest,
	})
	if e != nil {
		s.peerFailed(pr, owner, e, time.Since(start))
		return nil, e
	}
	tried := parseAttempts(a.Header.Get(hAttempts))
	j.attempts = append(j.attempts, tried...)
	j.attemptsLeft -= len(tried)
	if us, err := strconv.ParseInt(a.Header.Get(hElapsed), 10, 64); err == nil {
		if d := time.Since(start) - time.Duration(us)*time.Microsecond; d > 0 {
			updateAverage(&pr.rtt, d)
		}
	}
	switch a.Header.Get(hCode) {
	case "100":
		updateAverage(s.firstByteTime(j), time.Since(start))
		return &response{Response: a}, nil
	case "":
		a.Discard()
		return nil, corianderwing.Errorf(corianderwing.ResponseMismatch, "owner %s sent no result code", owner.ID)
	}
	e = parseError(a)
	s.recordLinkFull(owner.Region, e)
	return nil, e
}

// forwardHeader returns the headers of a hand-over. Far tells that it crosses a
// link between regions, so that the owner paces the answer.
func (s *Server) forwardHeader(j *job, deadline, now time.Time, crossRegion bool) []relay.HeaderField {
	h := append(attemptHeader(j, deadline, now, 7),
		relay.HeaderField{Name: hPool, Value: string(j.pool)},
		relay.HeaderField{Name: hAttemptsLeft, Value: strconv.Itoa(j.attemptsLeft)},
		relay.HeaderField{Name: hMaxWait, Value: strconv.FormatInt(int64(j.maxWait), 10)},
		relay.HeaderField{Name: hHops, Value: strconv.Itoa(j.hops + 1)},
		relay.HeaderField{Name: hToken, Value: s.fleetToken},
	)
	if j.atMostOnce {
		h = append(h, relay.HeaderField{Name: hAtMostOnce, Value: "1"})
	}
	if crossRegion {
		h = append(h, relay.HeaderField{Name: hRegion, Value: string(s.self.Region)})
	}
	return h
}

// forwardDeadline returns when the owner must have answered. While the request may
// go elsewhere, a quarter of the time is kept for that.
func (s *Server) forwardDeadline(j *job, now time.Time) time.Time {
	if j.atMostOnce || j.attemptsLeft <= 1 || j.body.Rest != nil {
		return j.deadline
	}
	return s.shortenDeadline(j, now, j.deadline.Sub(now)*3/4)
}

// minSuspectTimeout is the shortest silence that says something about an owner: a
// caller may set a deadline that nobody can meet.
const minSuspectTimeout = 250 * time.Millisecond

// peerFailed reacts to an owner that could not be reached or did not answer.
func (s *Server) peerFailed(pr *peer, owner corianderwing.Instance, e *corianderwing.Error, elapsed time.Duration) {
	switch e.Code {
	case corianderwing.FirstByteTimeout:
		pr.Reset()
		if elapsed < minSuspectTimeout {
			return
		}
	case corianderwing.ConnectFailed, corianderwing.SendFailed:
	default:
		return
	}
	s.suspects.Store(owner.ID, time.Now().Add(suspectTTL))
}

// parseError reads the owner's refusal.
func parseError(a *relay.Response) *corianderwing.Error {
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
	if h, ok := s.peers.Load(addr); ok {
		return h.(*peer)
	}
	h, _ := s.peers.LoadOrStore(addr, &peer{ConnPool: relay.ConnPool{Addr: addr, Dial: s.opt.dial, MaxIdle: 256}})
	return h.(*peer)
}
