package gate

import "corianderwing"

// countSent counts the attempt for the usage of its workspace. It is counted when it is
// sent, not when the response tells that it ran: slow responses come after the
// window was reported. A connection that broke counts, because upstreams that end
// usually do so while they run requests.
func (sl *slot) countSent() {
	x := sl.exchange
	if x.policy == nil || !x.s.cfg.Usage.Enabled() {
		return
	}
	sl.window, sl.counted = x.s.cfg.Usage.Sent(x.policy.Name, x.s.cfg.Boot())
}

// uncount takes the attempt back if it failed with an error that says that it did not
// run.
func (sl *slot) uncount(err *corianderwing.Error) {
	if !sl.counted || err.Execution != corianderwing.NotExecuted {
		return
	}
	sl.counted = false
	sl.exchange.s.cfg.Usage.Refused(sl.window, sl.exchange.policy.Name)
}
