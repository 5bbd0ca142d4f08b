package gate

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"corianderwing"
	"corianderwing/core/model"
)

// outdatedControl is a Control whose state was not confirmed lately, from a given call
// to IsCurrent on.
type outdatedControl struct {
	*pausingControl
	outdated atomic.Bool
}

func (c *outdatedControl) IsCurrent() bool { return !c.outdated.Load() }

// Guards against running requests outside their home regions on an instance that was
// cut off or paused, under settings as old as the cut, which may not even say that there
// are homes (HOME). In a site of one region homes exclude nothing, and old settings are
// better than none.
func TestHomesNeedCurrentSettings(t *testing.T) {
	for _, c := range []struct {
		name         string
		homes        bool
		before       bool // outdated when the request comes, else from its wait for a slot on
		singleRegion bool
		status       int
	}{
		{"cut off before the request", true, true, false, http.StatusServiceUnavailable},
		{"paused while it waits for a slot", true, false, false, http.StatusServiceUnavailable},
		{"no homes, cut off before the request", false, true, false, http.StatusServiceUnavailable},
		{"no homes, paused while it waits", false, false, false, http.StatusServiceUnavailable},
		{"one region, homes", true, true, true, http.StatusServiceUnavailable},
		{"one region, no homes, cut off before the request", false, true, true, http.StatusOK},
		{"one region, no homes, paused while it waits", false, false, true, http.StatusOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ran, addr := startCountingUpstream(t)
			granting := newGrantingControl(t, addr)
			if c.homes {
				granting.view = withHomes(t, granting.view, 2, "r")
			}
			control := &outdatedControl{}
			control.pausingControl = &pausingControl{grantingControl: granting, pause: func(*pausingControl) { control.outdated.Store(true) }}
			control.outdated.Store(c.before)
			s := startTestServer(t, control)
			s.cfg.SingleRegion = c.singleRegion
			w := send(s, 1)
			is.Equal(w.Code, c.status)
			is.Equal(ran.Load() == 1, c.status == http.StatusOK)
			is.Equal(w.Header().Get("Retry-After") != "", c.status != http.StatusOK)
			if c.status != http.StatusOK && !c.before {
				is.Equal(control.released.Load(), int32(1))
			}
		})
	}
}

// freshControl is a Control that receives the newest state and its confirmation just
// before it is asked about the lease, from the second time on, or about the state.
type freshControl struct {
	*pausingControl
	asked int
	wake  func()
}

func (c *freshControl) IsFresh() bool {
	if c.asked++; c.asked > 1 {
		c.wake()
	}
	return true
}

func (c *freshControl) IsCurrent() bool {
	c.wake()
	return true
}

// Guards against taking an old key for a valid one, and a new rule for one that does not
// exist, on an instance that wakes up: the state changed and was confirmed between the
// two looks at it.
func TestKeyAndRuleOfOneState(t *testing.T) {
	is := is.New(t)
	ran, addr := startCountingUpstream(t)
	granting := newGrantingControl(t, addr)
	full := granting.view
	control := &freshControl{pausingControl: &pausingControl{grantingControl: granting, pause: func(*pausingControl) {}}}
	revoked := withoutKey(t, full)
	control.wake = func() { granting.view = revoked }
	s := startTestServer(t, control)
	is.Equal(send(s, 1).Code, http.StatusUnauthorized)
	is.Equal(ran.Load(), int32(0))

	empty, err := full.Apply(&model.Command{Edit: &corianderwing.Edit{
		Deletions: []corianderwing.Deletion{{Kind: corianderwing.RuleItem, Name: "r-1", Version: 2}},
	}}, time.Now())
	is.NoErr(err)
	granting.view, control.asked = empty, 0
	again := withHomes(t, full, 3)
	control.wake = func() { granting.view = again }
	is.Equal(send(s, 2).Code, http.StatusServiceUnavailable) // not 404: the rule exists again
}

// wakingControl is a Control that receives the newest state and its confirmation just
// before it is asked whether the state is current.
type wakingControl struct {
	*pausingControl
	wake func()
}

func (c *wakingControl) IsCurrent() bool {
	c.wake()
	return true
}

// Guards against taking old homes for current ones on an instance that wakes up: the
// state changed and was confirmed between the two looks at it.
func TestHomesOfOneState(t *testing.T) {
	is := is.New(t)
	ran, addr := startCountingUpstream(t)
	granting := newGrantingControl(t, addr)
	granting.view = withHomes(t, granting.view, 2, "r")
	moved := withHomes(t, granting.view, 3, "s")
	control := &wakingControl{wake: func() {}}
	control.pausingControl = &pausingControl{grantingControl: granting, pause: func(*pausingControl) {
		control.wake = func() { granting.view = moved } // at the check after the wait
	}}
	s := startTestServer(t, control)
	w := send(s, 1)
	is.Equal(ran.Load(), int32(0))
	is.Equal(w.Code, http.StatusServiceUnavailable)
}
