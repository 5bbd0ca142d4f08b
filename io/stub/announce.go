package stub

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"corianderwing"
)

// announceEvery is the period of announcements. They expire after 3 s.
const announceEvery = time.Second

// Announce announces the upstream every second to one of the entry instances
// of its failure domain, and to the next one when that fails. It returns nil
// after it has announced that the upstream left, and an error when ctx ends.
func (s *Server) Announce(ctx context.Context) error {
	if len(s.cfg.Entries) == 0 {
		return errors.New("no entry instances to announce to")
	}
	s.mu.Lock()
	entry := s.rand.IntN(len(s.cfg.Entries))
	s.mu.Unlock()
	tick := time.NewTicker(announceEvery)
	defer tick.Stop()
	for {
		u := s.announcement()
		entry = s.announceTo(ctx, entry, u)
		if u.Phase == corianderwing.Left {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.left:
		case <-tick.C:
		}
	}
}

// announcement returns the next announcement.
func (s *Server) announcement() corianderwing.Upstream {
	load := s.reported().Load
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	return corianderwing.Upstream{
		ID:          s.cfg.ID,
		Incarnation: s.cfg.Incarnation,
		Seq:         s.seq,
		Pool:        s.cfg.Pool,
		Version:     s.cfg.Version,
		Domain:      s.cfg.Domain,
		Addr:        s.cfg.Addr,
		Slots:       s.cfg.Slots,
		Conns:       s.cfg.Conns,
		Phase:       s.phase,
		Load:        load,
	}
}

// announceTo tries each entry instance once, starting with the given one, and
// returns the one that took the announcement.
func (s *Server) announceTo(ctx context.Context, entry int, u corianderwing.Upstream) int {
	for range s.cfg.Entries {
		err := s.post(ctx, s.cfg.Entries[entry], u)
		if err == nil || ctx.Err() != nil {
			return entry
		}
		s.cfg.Log.Warn().Str("upstream", string(u.ID)).Str("entry", s.cfg.Entries[entry]).Err(err).Msg("announcement failed")
		entry = (entry + 1) % len(s.cfg.Entries)
	}
	return entry
}

func (s *Server) post(ctx context.Context, entry string, u corianderwing.Upstream) error {
	data, err := json.Marshal(u)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/-/announce", bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.cfg.Client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<16)) // lets the connection be used again
	if resp.StatusCode < http.StatusOK || resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("announcement refused with status %d", resp.StatusCode)
	}
	return nil
}
