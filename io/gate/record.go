package gate

import (
	"time"

	"corianderwing"
)

// record writes the log line of a request and counts it.
func (v *visit) record() {
	took := time.Since(v.start)
	code := corianderwing.OK
	if v.err != nil {
		code = v.err.Code
	}
	e := v.s.log.Info()
	if v.err != nil {
		e = v.s.log.Warn()
	}
	e = e.Str("request", string(v.ask.ID)).Uint16("code", uint16(code)).Int("status", v.status).Int64("us", took.Microseconds())
	if v.err != nil {
		e = e.Str("run", string(v.err.Execution)).Str("reason", v.err.Detail)
	}
	if v.view != nil {
		e = e.Uint64("revision", uint64(v.view.Revision()))
	}
	var workspace corianderwing.WorkspaceID
	if v.tenure != nil {
		workspace = v.tenure.Name
		e = e.Str("workspace", string(workspace))
	}
	if v.rule != nil {
		e = e.Str("rule", string(v.rule.Name)).Uint64("version", uint64(v.rule.Version))
	}
	if v.pool != nil {
		e = e.Str("pool", string(v.pool.name))
	}
	e = e.Str("object", v.ask.Object).Int64("waited", v.waited.Milliseconds())
	if len(v.attempts) > 0 {
		e = e.Any("attempts", v.attempts)
	}
	e.Msg("request")
	v.s.meter.Answered(workspace, corianderwing.Normal, code, took)
}

// note keeps an attempt for the log line of the request.
func (v *visit) note(t *slot, err *corianderwing.Error, took time.Duration) {
	code := corianderwing.OK
	if err != nil {
		code = err.Code
	}
	v.attempts = append(v.attempts, attempted{
		Upstream: t.upstream.ID,
		Version:  t.upstream.Version,
		Domain:   t.upstream.Domain,
		Code:     code,
		From:     t.from.Domain,
		Expected: corianderwing.Millis(t.work.Milliseconds()),
		First:    corianderwing.Millis(took.Milliseconds()),
		Known:    t.known,
	})
}

// attempted is an attempt in the log line of a request.
type attempted struct {
	Upstream corianderwing.UpstreamID `json:"upstream"`
	Version  corianderwing.VersionID  `json:"version"`
	Domain   corianderwing.DomainID   `json:"domain"`
	Code     corianderwing.Code       `json:"code"`
	From     corianderwing.DomainID   `json:"from,omitempty"` // whose desk handed the slot out; empty for that of the instance itself
	Expected corianderwing.Millis     `json:"expected"`       // until the first byte
	First    corianderwing.Millis     `json:"first"`
	Known    bool                     `json:"known,omitempty"` // the upstream was expected to know the object
}
