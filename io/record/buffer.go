package record

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/phuslu/log"

	"corianderwing"
)

const (
	// shipDelay is the time for which records are batched. It leaves half of
	// the 200 ms within which a record must reach its holders for shipping.
	shipDelay = 100 * time.Millisecond
	// shipTimeout bounds one attempt, so that an unresponsive holder delays the
	// others only briefly.
	shipTimeout = 500 * time.Millisecond
	// avoidDuration is the time for which a holder that failed is tried last.
	avoidDuration = 5 * time.Second
	// numCopies is the number of holders of each record.
	numCopies = 2
	// maxBatch limits the records in a batch. A record takes about 500 bytes as
	// CBOR, and a gRPC message is limited to 4 MB.
	maxBatch = 1000
	// maxRounds is the number of rounds after which a batch with a single copy is
	// accepted. Later batches wait until then.
	maxRounds = 5
)

// BufferConfig configures a Buffer.
type BufferConfig struct {
	Instance    corianderwing.InstanceID
	Incarnation corianderwing.Incarnation
	MaxRecords  int                               // capacity of the buffer; default 10,000
	Holders     func() []corianderwing.InstanceID // live holders, preferred first
	Shipper     Shipper
	Log         *log.Logger
}

// Buffer implements corianderwing.Recorder. It owns the records of this
// instance until they are shipped.
type Buffer struct {
	cfg  BufferConfig
	wake chan struct{}
	stop chan struct{}
	done chan struct{}
	once sync.Once

	mu    sync.Mutex
	ring  []corianderwing.Record
	first int
	n     int
	lost  uint64

	avoidUntil map[corianderwing.InstanceID]time.Time // used by the shipping goroutine only
}

var _ corianderwing.Recorder = (*Buffer)(nil)

// NewBuffer returns a Buffer and starts its shipping goroutine, which runs until
// Close.
func NewBuffer(cfg BufferConfig) *Buffer {
	if cfg.MaxRecords <= 0 {
		cfg.MaxRecords = 10_000
	}
	if cfg.Log == nil {
		cfg.Log = &log.Logger{Level: log.ErrorLevel}
	}
	b := &Buffer{
		cfg:        cfg,
		wake:       make(chan struct{}, 1),
		stop:       make(chan struct{}),
		done:       make(chan struct{}),
		ring:       make([]corianderwing.Record, cfg.MaxRecords),
		avoidUntil: map[corianderwing.InstanceID]time.Time{},
	}
	go b.run()
	return b
}

// Record adds a record. It does not block: when the buffer is full, the oldest
// record is dropped.
func (b *Buffer) Record(r corianderwing.Record) {
	b.mu.Lock()
	if b.n == len(b.ring) {
		b.first = (b.first + 1) % len(b.ring)
		b.n--
		b.lost++
	}
	b.ring[(b.first+b.n)%len(b.ring)] = r
	b.n++
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Lost returns the number of dropped records.
func (b *Buffer) Lost() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lost
}

// Close ships the remaining records until ctx ends. It returns an error if any
// could not be shipped.
func (b *Buffer) Close(ctx context.Context) error {
	b.once.Do(func() { close(b.stop) })
	select {
	case <-b.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		batch := b.nextBatch()
		if len(batch.Records) == 0 {
			return nil
		}
		if held := b.shipMissing(ctx, batch, map[corianderwing.InstanceID]bool{}); held == 0 {
			b.requeue(batch.Records)
			return fmt.Errorf("no holder accepted the last %d records", b.pending())
		}
	}
}

func (b *Buffer) pending() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.n
}

// run ships batches until the buffer is closed.
func (b *Buffer) run() {
	defer close(b.done)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-b.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	for {
		select {
		case <-b.stop:
			return
		case <-b.wake:
		}
		for b.pending() > 0 {
			if !b.sleep(shipDelay) {
				return
			}
			if !b.shipBatch(ctx, b.nextBatch()) {
				return
			}
		}
	}
}

func (b *Buffer) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-b.stop:
		return false
	case <-t.C:
		return true
	}
}

// shipBatch ships one batch until it has enough copies. It returns false when the
// buffer is being closed; a batch without a copy is then requeued.
func (b *Buffer) shipBatch(ctx context.Context, batch Batch) bool {
	stored := map[corianderwing.InstanceID]bool{}
	for round := 1; ; round++ {
		n := b.shipMissing(ctx, batch, stored)
		if n >= numCopies || n > 0 && round >= maxRounds {
			return true
		}
		if !b.sleep(shipDelay) {
			if n == 0 {
				b.requeue(batch.Records)
			}
			return false
		}
	}
}

// shipMissing ships the batch to holders that are not in stored until numCopies have
// it, adds them to stored and returns its size. It tries as many holders at a time as
// copies are missing.
func (b *Buffer) shipMissing(ctx context.Context, batch Batch, stored map[corianderwing.InstanceID]bool) int {
	var candidates []corianderwing.InstanceID
	for _, h := range b.holders() {
		if !stored[h] {
			candidates = append(candidates, h)
		}
	}
	for len(stored) < numCopies && len(candidates) > 0 && ctx.Err() == nil {
		targets := candidates[:min(numCopies-len(stored), len(candidates))]
		candidates = candidates[len(targets):]
		for i, err := range b.shipTo(ctx, batch, targets) {
			if err == nil {
				stored[targets[i]] = true
				delete(b.avoidUntil, targets[i])
				continue
			}
			b.avoidUntil[targets[i]] = time.Now().Add(avoidDuration)
			b.cfg.Log.Warn().Str("holder", string(targets[i])).Int("records", len(batch.Records)).Err(err).Msg("shipping records to a holder failed")
		}
	}
	return len(stored)
}

// shipTo ships the batch to several holders concurrently.
func (b *Buffer) shipTo(ctx context.Context, batch Batch, holders []corianderwing.InstanceID) []error {
	ctx, cancel := context.WithTimeout(ctx, shipTimeout)
	defer cancel()
	errs := make([]error, len(holders))
	var wg sync.WaitGroup
	for i, h := range holders {
		wg.Go(func() { errs[i] = b.cfg.Shipper.Ship(ctx, h, batch) })
	}
	wg.Wait()
	return errs
}

// holders returns the live holders; those that failed recently come last.
func (b *Buffer) holders() []corianderwing.InstanceID {
	now := time.Now()
	var good, bad []corianderwing.InstanceID
	for _, h := range b.cfg.Holders() {
		if now.Before(b.avoidUntil[h]) {
			bad = append(bad, h)
		} else {
			good = append(good, h)
		}
	}
	return append(good, bad...)
}

// nextBatch removes the oldest records, at most maxBatch, from the ring.
func (b *Buffer) nextBatch() Batch {
	b.mu.Lock()
	defer b.mu.Unlock()
	batch := Batch{Instance: b.cfg.Instance, Incarnation: b.cfg.Incarnation, Lost: b.lost}
	for b.n > 0 && len(batch.Records) < maxBatch {
		batch.Records = append(batch.Records, b.ring[b.first])
		b.ring[b.first] = corianderwing.Record{}
		b.first = (b.first + 1) % len(b.ring)
		b.n--
	}
	return batch
}

// requeue puts records that no holder accepted back at the front of the ring. Those
// that no longer fit are dropped and counted as lost.
func (b *Buffer) requeue(records []corianderwing.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := len(records) - 1; i >= 0; i-- {
		if b.n == len(b.ring) {
			b.lost += uint64(i + 1)
			return
		}
		b.first = (b.first + len(b.ring) - 1) % len(b.ring)
		b.ring[b.first] = records[i]
		b.n++
	}
}
