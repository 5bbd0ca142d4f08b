package entry

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"corianderwing"
	"corianderwing/io/relay"
)

// Internal headers. They are removed from requests and responses, except
// Cw-Left from callers and Cw-Request and Cw-Run from upstreams.
const (
	hCode         = "Cw-Code"      // result code, numeric
	hExecution    = "Cw-Run"       // no, yes or unknown
	hRequest      = "Cw-Request"   // request id; echoed by upstreams
	hTimeLeft     = "Cw-Left"      // remaining time, ms
	hWorkspace    = "Cw-Workspace" // sent to upstreams and between instances
	hService      = "Cw-Service"
	hRoute        = "Cw-Route"
	hClass        = "Cw-Class"
	hPool         = "Cw-Pool"   // this and the following: between instances only
	hAtMostOnce   = "Cw-Once"   // 1 for a route that is not idempotent
	hAttemptsLeft = "Cw-Tries"  // attempts left
	hMaxWait      = "Cw-Wait"   // maximum wait for a slot, ms
	hHops         = "Cw-Hops"   // how often the request has been forwarded
	hToken        = "Cw-Token"  // proves that the sender belongs to the fleet
	hRegion       = "Cw-Region" // region of the sender, if it differs from the receiver's
	hElapsed      = "Cw-Took"   // time from receipt at the pool owner to the response header, µs
	hAttempts     = "Cw-Tried"  // attempts at upstreams, see formatAttempts
)

// isInternalHeader reports whether name is an internal header.
func isInternalHeader(name string) bool {
	return len(name) > 3 && name[0] == 'C' && name[1] == 'w' && name[2] == '-'
}

// upstreamHeader returns the header to send to an upstream: the caller's header
// without keys. Size is the size of the caller's request line and header in
// bytes.
func upstreamHeader(r *http.Request, cookies []string, key string) (out []relay.HeaderField, size int) {
	in := r.Header
	out, size = relay.EndToEndFields(in, func(name string) bool {
		if isInternalHeader(name) {
			return true
		}
		switch name {
		case "X-Api-Key", "Authorization", "Cookie":
			return true
		case "Referer":
			// The referring URL may contain the key.
			return key != "" && strings.Contains(strings.Join(in[name], ""), key)
		}
		return false
	})
	for _, v := range in["Authorization"] {
		if _, ok := bearer(v); !ok {
			out = append(out, relay.HeaderField{Name: "Authorization", Value: v})
		}
	}
	for _, v := range cookies {
		out = append(out, relay.HeaderField{Name: "Cookie", Value: v})
	}
	return out, size + len(r.RequestURI) + len(r.Method) + len(r.Host)
}

// formatTimeLeft formats the time until the deadline in ms, at least 1.
func formatTimeLeft(deadline, now time.Time) string {
	return strconv.FormatInt(max(1, deadline.Sub(now).Milliseconds()), 10)
}

// parseTimeLeft converts a remaining time in ms to a deadline. Values over an
// hour are reduced to an hour.
func parseTimeLeft(s string, now time.Time) (time.Time, bool) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n <= 0 {
		return time.Time{}, false
	}
	return corianderwing.Millis(min(n, 3600_000)).After(now), true
}

// formatAttempts formats attempts as upstream;version;owner;code;wait;first,...
func formatAttempts(list []corianderwing.Attempt) string {
	b := make([]byte, 0, 64*len(list))
	for i, a := range list {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, a.Upstream...)
		b = append(b, ';')
		b = append(b, a.Version...)
		b = append(b, ';')
		b = append(b, a.Owner...)
		for _, n := range []int64{int64(a.Code), int64(a.Wait), int64(a.FirstByte)} {
			b = append(b, ';')
			b = strconv.AppendInt(b, n, 10)
		}
	}
	return string(b)
}

// parseAttempts parses the output of formatAttempts. Invalid entries are
// skipped.
func parseAttempts(s string) []corianderwing.Attempt {
	if s == "" {
		return nil
	}
	var list []corianderwing.Attempt
	for part := range strings.SplitSeq(s, ",") {
		f := strings.Split(part, ";")
		if len(f) != 6 {
			continue
		}
		code, err := strconv.ParseUint(f[3], 10, 16)
		if err != nil {
			continue
		}
		wait, _ := strconv.ParseInt(f[4], 10, 64)
		first, _ := strconv.ParseInt(f[5], 10, 64)
		list = append(list, corianderwing.Attempt{
			Upstream:  corianderwing.UpstreamID(f[0]),
			Version:   corianderwing.VersionID(f[1]),
			Owner:     corianderwing.InstanceID(f[2]),
			Code:      corianderwing.Code(code),
			Wait:      corianderwing.Millis(wait),
			FirstByte: corianderwing.Millis(first),
		})
	}
	return list
}
