package soak

import "sync/atomic"

// claim lets one fault at a time work on a process or an upstream. The zero value is
// not taken.
type claim struct{ taken atomic.Bool }

// take makes the caller the only one that works on it, unless another one does.
func (c *claim) take() bool { return c.taken.CompareAndSwap(false, true) }

func (c *claim) release() { c.taken.Store(false) }
