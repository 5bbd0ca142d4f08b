package stub

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"corianderwing"
	"corianderwing/io/conf"
)

// FromSettings returns the stand-ins that a settings file describes. Each has
// a seed of its own, derived from the given one, and announces to the entry
// instances of its failure domain.
func FromSettings(cfg *conf.Config, seed uint64) []Config {
	var all []Config
	numbers := map[corianderwing.UpstreamID]int{}
	for _, s := range cfg.Stubs {
		first, err := netip.ParseAddrPort(s.Address)
		if err != nil {
			continue // the settings were checked
		}
		for i := range s.Count {
			set := corianderwing.UpstreamID(fmt.Sprintf("%s-%s", s.Pool, s.Domain))
			numbers[set]++
			all = append(all, Config{
				ID:      corianderwing.UpstreamID(fmt.Sprintf("%s-%d", set, numbers[set])),
				Pool:    s.Pool,
				Domain:  s.Domain,
				Version: s.Version,
				Addr:    net.JoinHostPort(first.Addr().String(), strconv.Itoa(int(first.Port())+i)),
				Entries: entries(cfg, s.Domain),
				Slots:   s.Slots,
				Conns:   s.MaxConns,
				Time:    millis(s.ServiceTime),
				Spread:  0.5,
				Connect: millis(s.ConnectTime),
				Probe:   millis(s.ProbeTime),
				Size:    s.ResponseSize,
				Seed:    seed + uint64(len(all)),
			})
		}
	}
	return all
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func entries(cfg *conf.Config, d corianderwing.DomainID) []string {
	var all []string
	for _, p := range cfg.Processes {
		if p.Entry != nil && p.Domain == d {
			all = append(all, p.Entry.PublicAddr)
		}
	}
	return all
}

// ServeAll listens on the addresses of all stand-ins and serves them until
// ctx ends and they have left. Stop ends that early.
func ServeAll(ctx, stop context.Context, all []Config) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	errs := make([]error, len(all))
	var wg sync.WaitGroup
	for i, c := range all {
		ln, err := net.Listen("tcp", c.Addr)
		if err != nil {
			errs[i] = err
			cancel()
			break
		}
		wg.Go(func() { errs[i] = New(c).Serve(ctx, stop, ln) })
	}
	wg.Wait()
	return errors.Join(errs...)
}
