// Package clock waits on the real clock, or on that of a synctest bubble.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false as soon as ctx ends.
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
