package fleet

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/member"
)

// network connects the fleets in one process and encodes messages as on the wire.
type network struct {
	mu     sync.Mutex
	fleets map[string]*Fleet
}

func (n *network) Exchange(_ context.Context, addr string, msg member.Gossip) (member.Gossip, error) {
	n.mu.Lock()
	f := n.fleets[addr]
	n.mu.Unlock()
	if f == nil {
		return member.Gossip{}, errors.New("no route")
	}
	time.Sleep(time.Millisecond)
	var in, out member.Gossip
	if err := reencode(msg, &in); err != nil {
		return out, err
	}
	return out, reencode(f.HandleExchange(in), &out)
}

func reencode(from member.Gossip, to *member.Gossip) error {
	b, err := cbor.Marshal(from)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(b, to)
}

func newFleets(t *testing.T, n int) []*Fleet {
	net := &network{fleets: make(map[string]*Fleet)}
	all := make([]*Fleet, n)
	for i := range all {
		addr := fmt.Sprintf("127.0.0.1:%d", 9000+i)
		f, err := New(Config{Exchanger: net, Config: member.Config{
			Self: corianderwing.Instance{
				ID: corianderwing.InstanceID(fmt.Sprint("i", i)), Incarnation: 1, PeerAddr: addr,
				Domain: corianderwing.DomainID(fmt.Sprint("d", i%2)),
			},
			Seeds: []string{"127.0.0.1:9000"}, RandSeed: uint64(i),
			Delays: map[corianderwing.DomainID]time.Duration{"d0": time.Millisecond, "d1": time.Millisecond},
		}})
		is.New(t).NoErr(err)
		net.fleets[addr], all[i] = f, f
	}
	return all
}

// Guards against instances or upstreams that are not known everywhere, pools with no
// owner or two owners, and a draining instance that owns a pool or a draining upstream
// that stays listed.
func TestGossipSpreads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, stop := context.WithCancel(t.Context())
		all := newFleets(t, 6)
		var wg sync.WaitGroup
		for _, f := range all {
			wg.Go(func() { f.Run(ctx) })
		}
		time.Sleep(6 * time.Second)
		up := corianderwing.Upstream{ID: "u", Incarnation: 1, Seq: 1, Pool: "p", Version: "v", Domain: "d1", Addr: "127.0.0.1:1", Phase: corianderwing.Ready}
		is.NoErr(all[1].Announce(up))
		is.True(all[0].Announce(up) != nil) // another domain
		time.Sleep(2 * time.Second)
		owners := 0
		for _, f := range all {
			is.Equal(len(f.Instances()), 6)
			is.Equal(f.Domains("p"), []corianderwing.DomainID{"d1"})
			o, ok := f.Owner("p", "d1")
			first, _ := all[0].Owner("p", "d1")
			is.True(ok && o.ID == first.ID)
			if f.Self().Domain == "d1" && f.Owns("p") {
				owners++
				is.Equal(f.Self().ID, o.ID)
			}
		}
		is.Equal(owners, 1)

		up.Seq, up.Phase = 2, corianderwing.Draining
		is.NoErr(all[3].Announce(up))
		all[5].SetPhase(corianderwing.Draining)
		is.True(!all[5].Owns("p"))
		time.Sleep(time.Second)
		for _, f := range all {
			is.Equal(f.Upstreams("p", "d1")[0].Phase, corianderwing.Draining)
			o, ok := f.Owner("p", "d1")
			is.True(ok && o.ID != "i5")
		}
		time.Sleep(3 * time.Second)
		is.Equal(len(all[0].Upstreams("p", "d1")), 0)
		stop()
		wg.Wait()
	})
}

// Guards against an invalid configuration that fails only after start.
func TestNewRejectsInvalidConfig(t *testing.T) {
	is := is.New(t)
	_, err := New(Config{})
	is.True(err != nil)
	cfg := Config{Exchanger: &network{}, Config: member.Config{Self: corianderwing.Instance{ID: "a", Domain: "d", Incarnation: 1}}}
	_, err = New(cfg)
	is.True(err != nil) // no peer address
}
