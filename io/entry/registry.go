package entry

import (
	"context"
	"sync"

	"corianderwing"
)

// requestRegistry tracks the requests in progress, so that they can be canceled
// when their key is revoked or the instance must stop immediately.
type requestRegistry struct {
	shards [32]shard
}

type shard struct {
	mu   sync.Mutex
	head activeRequest // sentinel of the list
}

// activeRequest is a request in progress, an element of its shard's list.
type activeRequest struct {
	next, prev *activeRequest
	added      bool // accessed only by the request itself
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

// add registers e. The caller provides e as part of the request's state, which
// avoids an allocation.
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

// cancelRevoked cancels the requests whose key is no longer valid. Requests of
// a workspace without a view are not canceled: its settings are unavailable,
// which does not mean that the key was revoked.
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

// cancelAll cancels all requests in progress.
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
