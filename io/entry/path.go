package entry

import (
	"net/http"
	"strings"
	"unicode/utf8"

	"corianderwing"
)

// target is a parsed request path.
type target struct {
	workspace corianderwing.WorkspaceID
	service   corianderwing.ServiceID
	path      string // decoded path after the service; starts with "/"
	raw       string // path after the service as sent
}

// splitPath parses /{workspace}/{service}/{path...}. It accepts only paths that
// every upstream interprets alike: no empty or dot segments, and no slash,
// backslash, dot or control character that is encoded once or twice.
func splitPath(r *http.Request) (target, *corianderwing.Error) {
	u := r.URL
	raw := u.Path
	if n := len(raw); !strings.HasPrefix(r.RequestURI, raw) || len(r.RequestURI) > n && r.RequestURI[n] != '?' {
		raw = u.EscapedPath() // has escapes; calling EscapedPath for every request would be slow
	}
	if !strings.HasPrefix(raw, "/") {
		return target{}, corianderwing.Errorf(corianderwing.InvalidPath, "request target must be a path")
	}
	if problem := pathProblem(raw, u.Path); problem != "" {
		return target{}, corianderwing.Errorf(corianderwing.InvalidPath, "%s", problem)
	}
	w, rest, _ := strings.Cut(raw[1:], "/")
	s, _, more := strings.Cut(rest, "/")
	if !corianderwing.ValidID(w) || !corianderwing.ValidID(s) {
		return target{}, corianderwing.Errorf(corianderwing.InvalidPath, "path must start with /workspace/service")
	}
	t := target{workspace: corianderwing.WorkspaceID(w), service: corianderwing.ServiceID(s), path: "/", raw: "/"}
	if more {
		// Ids contain no escapes, so the prefix has the same length in both
		// forms.
		n := 1 + len(w) + 1 + len(s)
		t.path, t.raw = u.Path[n:], raw[n:]
	}
	return t, nil
}

// pathProblem describes why a path is invalid. It returns "" for a valid path.
func pathProblem(raw, path string) string {
	start, escaped := 1, len(raw) != len(path)
	for i := 1; i <= len(path); i++ {
		if i < len(path) && path[i] != '/' {
			if c := path[i]; c < ' ' || c == 0x7f || c == '\\' {
				return "path has a control character or backslash"
			}
			continue
		}
		if i == start && i < len(path) {
			return "path has an empty segment"
		}
		if i > start && path[start] == '.' && isDotSegment(path[start:i]) {
			return "path has a dot segment"
		}
		start = i + 1
	}
	if !escaped {
		return "" // any escape makes the raw path longer
	}
	if hasEncodedSyntax(raw, false) || hasEncodedSyntax(path, true) {
		return "path has an encoded slash, backslash, dot or control character"
	}
	if !utf8.ValidString(path) {
		return "path is not UTF-8" // such as an overlong encoding of a slash
	}
	return ""
}

// isDotSegment reports whether a segment refers to the current or parent
// directory. Some servers strip path parameters before they check for that.
func isDotSegment(seg string) bool {
	seg, _, _ = strings.Cut(seg, ";")
	return seg == "." || seg == ".."
}

// hasEncodedSyntax reports whether s contains an escape that decodes to path
// syntax. In a path that has been decoded once, an escaped percent sign counts
// too.
func hasEncodedSyntax(s string, decoded bool) bool {
	for i := 0; i+2 < len(s); i++ {
		if s[i] != '%' {
			continue
		}
		switch strings.ToLower(s[i+1 : i+3]) {
		case "2f", "5c", "2e", "00":
			return true
		case "25":
			if decoded {
				return true
			}
		}
	}
	return false
}
