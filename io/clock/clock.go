// Package clock provides a sleep that ends with its context, and the boot clock.
// In a synctest bubble, Sleep uses the fake clock.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d and returns true, or returns false as soon as ctx ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
