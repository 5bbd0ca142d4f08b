package gate

import (
	"time"

	"corianderwing"
	"corianderwing/core/place"
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
		e = e.Str("run", string(v.err.Run)).Str("reason", v.err.Detail)
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
	e = e.Str("object", v.ask.Object)
	if len(v.attempts) > 0 {
		e = e.Any("attempts", v.attempts)
	}
	e.Msg("request")
	v.s.meter.Answered(workspace, corianderwing.Normal, code, took)
}

// note keeps an attempt for the log line of the request.
func (v *visit) note(c place.Choice, err *corianderwing.Error, took time.Duration) {
	code := corianderwing.OK
	if err != nil {
		code = err.Code
	}
	v.attempts = append(v.attempts, corianderwing.Attempt{
		Upstream: c.Upstream.ID,
		Version:  c.Upstream.Version,
		Code:     code,
		Wait:     corianderwing.Millis(c.Wait.Milliseconds()),
		First:    corianderwing.Millis(took.Milliseconds()),
	})
}
