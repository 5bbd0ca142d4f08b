package gate

import (
	"time"

	"corianderwing"
	"corianderwing/core/place"
)

// logRequest writes the log line of a request and counts it in the metrics.
func (x *exchange) logRequest() {
	took := time.Since(x.start)
	code := corianderwing.OK
	if x.err != nil {
		code = x.err.Code
	}
	e := x.s.log.Info()
	if x.err != nil {
		e = x.s.log.Warn()
	}
	e = e.Str("request", string(x.caller.ID)).Uint16("code", uint16(code)).Int("status", x.status).Int64("us", took.Microseconds())
	if x.err != nil {
		e = e.Str("run", string(x.err.Execution)).Str("reason", x.err.Detail)
	}
	if x.view != nil {
		e = e.Uint64("revision", uint64(x.view.Revision())).Int64("age", x.stateAge.Milliseconds())
	}
	var workspace corianderwing.WorkspaceID
	if x.policy != nil {
		workspace = x.policy.Name
		e = e.Str("workspace", string(workspace))
	}
	if x.rule != nil {
		e = e.Str("rule", string(x.rule.Name)).Uint64("version", uint64(x.rule.Version))
	}
	if x.pool != nil {
		e = e.Str("pool", string(x.pool.name))
	}
	if x.borrowed.Neighbor {
		e = e.Str("lender", x.borrowed.Lender)
	}
	if len(x.placement.HomeRegions) > 0 {
		e = e.Any("homes", x.placement.HomeRegions)
	}
	if x.err != nil && x.refusedBy != nil {
		e = e.Str("refused_in", string(x.refusedBy.Domain)).Str("refused_by", x.refusedBy.Peer)
	}
	e = e.Str("object", x.caller.Object).Int64("waited", x.slotWait.Milliseconds())
	if x.suspected {
		e = e.Str("fingerprint", string(x.fingerprint))
	}
	if len(x.attemptLog) > 0 {
		e = e.Any("attempts", x.attemptLog)
	}
	if len(x.spared) > 0 {
		e = e.Any("spared", x.spared)
	}
	e.Msg("request")
	x.s.meter.RecordResponse(workspace, corianderwing.Normal, code, took)
}

// logAttempt adds an attempt to the log line of the request.
func (x *exchange) logAttempt(sl *slot, err *corianderwing.Error, took time.Duration) {
	code := corianderwing.OK
	if err != nil {
		code = err.Code
	}
	sent := time.Now().Add(-took)
	x.attemptLog = append(x.attemptLog, attemptEntry{
		At:          corianderwing.Millis(sent.Sub(x.start).Milliseconds()),
		Upstream:    sl.upstream.ID,
		Incarnation: sl.upstream.Incarnation,
		Revision:    sl.revision,
		Age:         corianderwing.Millis(sl.stateAge.Milliseconds()),
		Version:     sl.upstream.Version,
		Domain:      sl.upstream.Domain,
		Code:        code,
		From:        sl.source.Domain,
		Peer:        sl.source.Peer,
		Reason:      sl.source.Reason,
		Cold:        sl.coldStart,
		Warmup:      corianderwing.Millis(max(0, sl.upstream.WarmupUntil.Sub(sent).Milliseconds())),
		Expected:    corianderwing.Millis(sl.expected.Milliseconds()),
		First:       corianderwing.Millis(took.Milliseconds()),
		Known:       sl.objectKnown,
	})
}

// attemptEntry describes an attempt in the log line of a request.
type attemptEntry struct {
	At          corianderwing.Millis      `json:"at"` // from the start of the request to the attempt
	Upstream    corianderwing.UpstreamID  `json:"upstream"`
	Incarnation corianderwing.Incarnation `json:"incarnation"`
	Revision    corianderwing.Revision    `json:"revision"` // of the state that allowed the upstream
	Age         corianderwing.Millis      `json:"age"`      // of that state
	Version     corianderwing.VersionID   `json:"version"`
	Domain      corianderwing.DomainID    `json:"domain"`
	Code        corianderwing.Code        `json:"code"`
	From        corianderwing.DomainID    `json:"from,omitempty"`   // failure domain whose allocator granted the slot; empty if this instance did
	Peer        string                    `json:"peer,omitempty"`   // control instance that granted the slot
	Reason      place.ForwardReason       `json:"reason,omitempty"` // why that allocator was asked, if it is of another failure domain
	Cold        bool                      `json:"cold,omitempty"`   // the upstream was cold in the state of whoever granted the slot
	Warmup      corianderwing.Millis      `json:"warmup,omitempty"` // remaining warm-up time in the state of this instance
	Expected    corianderwing.Millis      `json:"expected"`         // until the first byte
	First       corianderwing.Millis      `json:"first"`
	Known       bool                      `json:"known,omitempty"`   // the upstream was expected to know the object
	Crashed     bool                      `json:"crashed,omitempty"` // the upstream refused connections after the attempt had failed
}
