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

// maxHops limits how often a request is forwarded: the first entry instance
// forwards it to an owner, and an owner never forwards it again.
const maxHops = 1

// peer is the internal listener of another entry instance.
type peer struct {
	relay.ConnPool
	rtt atomic.Int64 // smoothed round-trip time without the peer's processing time, ns
}

// ownerPollInterval is the time between two attempts to find a pool owner.
// Ownership changes when instances start, stop or freeze, and a new owner is
// known soon after.
const ownerPollInterval = 25 * time.Millisecond

// forward sends a request to an upstream. While no instance owns the pool, it
// retries for as long as the route allows a request to wait for a slot.
func (s *Server) forward(ctx context.Context, j *job) (*response, *corianderwing.Error) {
	giveUp := j.maxWait.After(time.Now())
	for {
		resp, e := s.tryDomains(ctx, j)
		if e == nil || e.Code != corianderwing.NotOwner || e.Execution != corianderwing.NotExecuted || j.hops > 0 {
			return resp, e
		}
		next := time.Now().Add(ownerPollInterval)
		if next.After(giveUp) || next.After(j.deadline) || s.retryScope(j, e) == retry.NoRetry || sleep(ctx, ownerPollInterval) != nil {
			return nil, e
		}
		s.refreshSnapshot(j.pool)
	}
}

// tryDomains tries the local pool first if this instance owns it and a slot is
// free, and then the other failure domains if the request was not executed.
func (s *Server) tryDomains(ctx context.Context, j *job) (*response, *corianderwing.Error) {
	if s.cfg.Fleet.Owns(j.pool) {
		now := time.Now()
		p := s.pool(j.pool)
		if sl, ok := p.tryAcquire(j, now); ok {
			resp, e := s.runInSlot(ctx, j, p, sl, now)
			if e == nil || s.retryScope(j, e) == retry.NoRetry {
				return resp, e
			}
			return s.tryCandidates(ctx, j, e)
		}
	}
	return s.tryCandidates(ctx, j, nil)
}

// tryCandidates tries the failure domains in order of preference. A non-nil
// last is the error of a failed attempt in the local domain, which is then
// skipped.
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
		resp, e := s.tryCandidate(ctx, j, cand)
		if e == nil {
			return resp, nil
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

// depositRetry and withdrawRetry use the budget for retries in other failure
// domains.
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

// mayRetryElsewhere withdraws a retry token if another attempt adds load. An
// owner that is gone or has no upstreams carried no load for the request.
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

// tryCandidate sends a request to one failure domain.
func (s *Server) tryCandidate(ctx context.Context, j *job, cand candidate) (*response, *corianderwing.Error) {
	if cand.owner.ID == s.self.ID {
		return s.runLocal(ctx, j)
	}
	if j.hops >= maxHops {
		return nil, corianderwing.Errorf(corianderwing.NotOwner, "request was already forwarded %d times", j.hops)
	}
	return s.forwardTo(ctx, j, cand.owner)
}

// forwardTo forwards a request to the owner of a pool.
func (s *Server) forwardTo(ctx context.Context, j *job, owner corianderwing.Instance) (*response, *corianderwing.Error) {
	pace, e := s.reserveRequest(ctx, j, owner.Region)
	if e != nil {
		return nil, e
	}
	defer pace.release()
	start := time.Now()
	dest := s.peer(owner.InternalAddr)
	firstByte := s.forwardDeadline(j, start)
	// The owner's error should arrive before this instance times out.
	margin := time.Duration(dest.rtt.Load()) + 5*time.Millisecond
	margin += min(firstByte.Sub(start)/50, 50*time.Millisecond)
	resp, e := relay.Send(ctx, relay.Call{
		Conns:             &dest.ConnPool,
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
		s.peerFailed(dest, owner, e, time.Since(start))
		return nil, e
	}
	attempts := parseAttempts(resp.Header.Get(hAttempts))
	j.attempts = append(j.attempts, attempts...)
	j.attemptsLeft -= len(attempts)
	if us, err := strconv.ParseInt(resp.Header.Get(hElapsed), 10, 64); err == nil {
		if d := time.Since(start) - time.Duration(us)*time.Microsecond; d > 0 {
			updateAverage(&dest.rtt, d)
		}
	}
	switch resp.Header.Get(hCode) {
	case "100":
		updateAverage(s.firstByteTime(j), time.Since(start))
		return &response{Response: resp}, nil
	case "":
		resp.Discard()
		return nil, corianderwing.Errorf(corianderwing.ResponseMismatch, "response of owner %s has no result code", owner.ID)
	}
	e = parseError(resp)
	s.recordLinkFull(owner.Region, e)
	return nil, e
}

// forwardHeader returns the headers of a forwarded request. crossRegion reports
// whether it crosses a link between regions, so that the owner paces the
// response.
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

// forwardDeadline returns when the owner must have responded. If the request
// may be retried elsewhere, a quarter of the remaining time is reserved for
// that.
func (s *Server) forwardDeadline(j *job, now time.Time) time.Time {
	if j.atMostOnce || j.attemptsLeft <= 1 || j.body.Rest != nil {
		return j.deadline
	}
	return s.shortenDeadline(j, now, j.deadline.Sub(now)*3/4)
}

// minSuspectTimeout is the shortest timeout that makes an owner suspect. A
// shorter one may only mean that the caller set a deadline that cannot be met.
const minSuspectTimeout = 250 * time.Millisecond

// peerFailed handles an owner that could not be reached or did not respond.
func (s *Server) peerFailed(dest *peer, owner corianderwing.Instance, e *corianderwing.Error, elapsed time.Duration) {
	switch e.Code {
	case corianderwing.FirstByteTimeout:
		dest.Reset()
		if elapsed < minSuspectTimeout {
			return
		}
	case corianderwing.ConnectFailed, corianderwing.SendFailed:
	default:
		return
	}
	s.suspects.Store(owner.ID, time.Now().Add(suspectTTL))
}

// parseError decodes the owner's error response.
func parseError(resp *relay.Response) *corianderwing.Error {
	defer resp.Discard()
	var e corianderwing.Error
	raw, err := io.ReadAll(io.LimitReader(resp, 64<<10))
	if err == nil {
		err = json.Unmarshal(raw, &e)
	}
	if err != nil || e.Code < 200 || e.Code.Text() == "" {
		return corianderwing.Errorf(corianderwing.ResponseTruncated, "invalid error response from the pool owner: %v", err)
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
