package entry

import (
	"context"
	"sync"

	"corianderwing"
)

// requestRegistry holds the requests in progress, so that they can be cancelled when
// their key is revoked or the instance must stop at once.
type requestRegistry struct {
	shards [32]shard
}

type shard struct {
	mu   sync.Mutex
	head activeRequest // list anchor
}

// activeRequest is one running request, an element of its shard's list.
type activeRequest struct {
	next, prev *activeRequest
	added      bool // only the request itself reads it
	keyed      bool
	hash       corianderwing.KeyHash
	workspace  corianderwing.WorkspaceID
	cancel     context.CancelCauseFunc
}

func newRequestRegistry() *requestRegistry {
	r := &requestRegistry{}
	for i := range r.shards {
		h := &r.shards[i].head
		h.next, h.prev = h, h
	}
	return r
}

func (r *requestRegistry) shard(h corianderwing.KeyHash) *shard {
	return &r.shards[int(h[0])%len(r.shards)]
}

// add registers e, which is part of the request's own state so that it needs
// no allocation.
func (r *requestRegistry) add(e *activeRequest, keyed bool, h corianderwing.KeyHash, w corianderwing.WorkspaceID, cancel context.CancelCauseFunc) {
	e.added, e.keyed, e.hash, e.workspace, e.cancel = true, keyed, h, w, cancel
	s := r.shard(h)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.next, e.prev = s.head.next, &s.head
	e.next.prev, s.head.next = e, e
}

func (r *requestRegistry) remove(e *activeRequest) {
	if !e.added {
		return
	}
	e.added = false
	s := r.shard(e.hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.next.prev, e.prev.next = e.prev, e.next
	e.next, e.prev = nil, nil
}

// cancelRevoked cancels the requests whose key is no longer valid. A workspace without
// a view is left alone: that is a loss of settings, not a revocation.
func (r *requestRegistry) cancelRevoked(g corianderwing.SettingsSource) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for e := s.head.next; e != &s.head; e = e.next {
			if !e.keyed {
				continue
			}
			view, _, ok := g.View(e.workspace)
			if !ok {
				continue
			}
			k, ok := view.Key(e.hash)
			if !ok || k.Revoked || k.Workspace != e.workspace {
				e.cancel(corianderwing.Errorf(corianderwing.KeyRevoked, "workspace %s", e.workspace))
			}
		}
		s.mu.Unlock()
	}
}

// cancelAll cancels every running request.
func (r *requestRegistry) cancelAll(cause error) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for e := s.head.next; e != &s.head; e = e.next {
			e.cancel(cause)
		}
		s.mu.Unlock()
	}
}
