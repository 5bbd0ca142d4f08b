package demo

import (
	"fmt"
	"strings"
)

// Text returns the summary as text. Times are in milliseconds.
func (s *Summary) Text() string {
	var b strings.Builder
	if s.Load != nil {
		b.WriteString(s.Load.Text())
		b.WriteString("\n")
	}
	if s.Key.Done {
		fmt.Fprintf(&b, "revoked key: served %d times; the last request with it began %d ms after the revocation was accepted (bound %d ms)\n",
			s.Key.Served, s.Key.Late, keyBound.Milliseconds())
	}
	if s.Drain.Done {
		fmt.Fprintf(&b, "drained upstream %s: %d requests began after the drain was accepted, the last after %d ms (bound %d ms)\n",
			s.Drain.Upstream, s.Drain.After, s.Drain.Late, drainBound.Milliseconds())
	}
	if s.Kill.Done {
		fmt.Fprintf(&b, "killed leader %s of group %s: %s leads, a change was accepted after %d ms\n",
			s.Kill.Killed, s.Kill.Group, s.Kill.Leader, s.Kill.Took)
	}
	if len(s.Broken) == 0 {
		fmt.Fprintf(&b, "every invariant held; seed %d\n", s.Seed)
		return b.String()
	}
	for _, broken := range s.Broken {
		fmt.Fprintf(&b, "BROKEN %s\n", broken)
	}
	fmt.Fprintf(&b, "run again with --seed %d\n", s.Seed)
	return b.String()
}
