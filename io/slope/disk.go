package slope

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"corianderwing"
	"corianderwing/core/raft"
	"corianderwing/core/state"
	"corianderwing/io/group"
	"corianderwing/io/store"
)

const (
	restartBasis = "io/store of one replica: open and load the log and apply every entry, without the election; the file cache is warm"
	syncBasis    = "io/group with one voter: Sync and SyncDir of its store for 64 claims, with that many proposals under way"
)

// logs measures a restart against the length of the log, and the syncs of a
// change against the proposals that are under way at the same time.
func logs(ctx context.Context, s Sizes, dir string) ([]Series, error) {
	restart := Series{Role: "control", Cost: "restart of a replica", Unit: "ms", Per: "log entries", Basis: restartBasis}
	for _, n := range s.Entries {
		y, err := restartTime(filepath.Join(dir, fmt.Sprint("log-", n)), n)
		if err != nil {
			return nil, err
		}
		restart.Points = append(restart.Points, Point{float64(n), y})
	}
	syncs := Series{Role: "control", Cost: "disk syncs of a change", Unit: "syncs", Per: "proposals at the same time", Basis: syncBasis}
	for _, n := range s.Concurrent {
		y, err := syncsOf(ctx, filepath.Join(dir, fmt.Sprint("sync-", n)), n)
		if err != nil {
			return nil, err
		}
		syncs.Points = append(syncs.Points, Point{float64(n), y})
	}
	return []Series{restart, syncs}, nil
}

// restartTime returns how many milliseconds a log of n changes takes.
func restartTime(dir string, n int) (float64, error) {
	st, err := store.OpenDir(dir)
	if err != nil {
		return 0, err
	}
	if _, err := st.Load(); err != nil {
		return 0, err
	}
	entries := make([]corianderwing.Entry, n)
	for i := range entries {
		c := setWorkspace(i % 100)
		c.Request, c.Now, c.Base = corianderwing.RequestID(fmt.Sprint("r", i)), time.Now(), corianderwing.Revision(i)
		data, err := state.EncodeCommand(c)
		if err != nil {
			return 0, err
		}
		entries[i] = corianderwing.Entry{Index: corianderwing.Index(i + 1), Term: 1, Data: data}
	}
	if err := st.Append(entries); err != nil {
		return 0, err
	}
	if err := st.Close(); err != nil {
		return 0, err
	}
	start := time.Now()
	if st, err = store.OpenDir(dir); err != nil {
		return 0, err
	}
	defer st.Close()
	stored, err := st.Load()
	if err != nil {
		return 0, err
	}
	m := state.New("g0")
	for _, e := range stored.Entries {
		m.Apply(e.Index, e.Data)
	}
	took := time.Since(start)
	if got := int(m.View().Revision()); got != n {
		return 0, fmt.Errorf("a log of %d changes led to revision %d", n, got)
	}
	return float64(took.Microseconds()) / 1000, nil
}

// countFS counts syncs.
type countFS struct {
	store.FS
	syncs *atomic.Int64
}

type countFile struct {
	store.File
	syncs *atomic.Int64
}

func (f countFS) Create(name string) (store.File, error)     { return f.wrap(f.FS.Create(name)) }
func (f countFS) OpenAppend(name string) (store.File, error) { return f.wrap(f.FS.OpenAppend(name)) }

func (f countFS) wrap(file store.File, err error) (store.File, error) {
	if err != nil {
		return nil, err
	}
	return countFile{file, f.syncs}, nil
}

// SyncDir implements store.FS.
func (f countFS) SyncDir() error {
	f.syncs.Add(1)
	return f.FS.SyncDir()
}

// Sync implements store.File.
func (f countFile) Sync() error {
	f.syncs.Add(1)
	return f.File.Sync()
}

type noSender struct{}

// Send implements group.Sender.
func (noSender) Send(corianderwing.InstanceID, raft.Message) {}

// syncsOf returns the syncs of one change with n proposals under way.
func syncsOf(ctx context.Context, dir string, n int) (float64, error) {
	fs, err := store.DirFS(dir)
	if err != nil {
		return 0, err
	}
	var syncs atomic.Int64
	st, err := store.Open(countFS{fs, &syncs})
	if err != nil {
		return 0, err
	}
	cfg := group.Config{Group: "g0", Self: "c0", Voters: corianderwing.Membership{Voters: []corianderwing.InstanceID{"c0"}}, Seed: 1}
	g, err := group.Open(cfg, st, state.New("g0"), noSender{})
	if err != nil {
		return 0, err
	}
	defer g.Close()
	deadline := time.Now().Add(startTimeout)
	for leader, _ := g.Leader(); leader == ""; leader, _ = g.Leader() {
		if time.Now().After(deadline) {
			return 0, fmt.Errorf("no leader after %v", startTimeout)
		}
		if err := pause(ctx, 10*time.Millisecond); err != nil {
			return 0, err
		}
	}
	const total = 64
	before := syncs.Load()
	if err := proposeAll(ctx, g, total, n); err != nil {
		return 0, err
	}
	return float64(syncs.Load()-before) / total, nil
}

// proposeAll makes total proposals, n at a time.
func proposeAll(ctx context.Context, g *group.Group, total, n int) error {
	var (
		wg   sync.WaitGroup
		next atomic.Int64
	)
	errs := make(chan error, n)
	for range n {
		wg.Go(func() {
			for i := next.Add(1); i <= int64(total); i = next.Add(1) {
				o := corianderwing.Order{Workspace: "w0", Key: fmt.Sprint("o", i), Fingerprint: 1, Holder: "h"}
				data, err := state.EncodeCommand(corianderwing.Command{Request: corianderwing.RequestID(fmt.Sprint("p", i)), Kind: corianderwing.ClaimOrder, Now: time.Now(), Order: &o})
				if err == nil {
					_, err = g.Propose(ctx, data)
				}
				if err != nil {
					errs <- err
					return
				}
			}
		})
	}
	wg.Wait()
	close(errs)
	return <-errs
}
