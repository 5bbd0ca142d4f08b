package relay

import (
	"net/http"
	"strings"
)

// hopByHop holds the hop-by-hop headers, and those that the forwarder sets itself.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// isEndToEnd reports whether a header is to be forwarded.
func isEndToEnd(name string, connection []string, skip func(name string) bool) bool {
	return !hopByHop[name] && !listsHeader(connection, name) && (skip == nil || !skip(name))
}

// EndToEndFields returns the end-to-end headers of in, except those that skip
// selects, and the size of the whole header in bytes.
func EndToEndFields(in http.Header, skip func(name string) bool) (out []HeaderField, size int) {
	out = make([]HeaderField, 0, len(in)+4)
	connection := in["Connection"]
	for name, values := range in {
		pass := isEndToEnd(name, connection, skip)
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
			if pass {
				out = append(out, HeaderField{name, v})
			}
		}
	}
	return out, size
}

// CopyEndToEnd copies the end-to-end headers of in to out, except those that skip
// selects.
func CopyEndToEnd(out, in http.Header, skip func(name string) bool) {
	connection := in["Connection"]
	for name, values := range in {
		if isEndToEnd(name, connection, skip) {
			out[name] = values
		}
	}
}

// listsHeader reports whether comma-separated header values contain a header name.
func listsHeader(lines []string, name string) bool {
	for _, line := range lines {
		for part := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(part), name) {
				return true
			}
		}
	}
	return false
}
