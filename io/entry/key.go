package entry

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"
	"net/http"
	"net/url"
	"strings"
	"sync"

	"corianderwing"
)

// keyParam is the name of the query parameter and cookie that carry an API key.
const keyParam = "api_key"

// requestKeys collects the API keys found in a request.
type requestKeys struct {
	key   string
	count int
}

func (f *requestKeys) add(key string) {
	f.key = key
	f.count++
}

// extractKey returns the API key of a request, and the request's cookies and
// query without it. A key may be in Authorization, X-Api-Key, a cookie or the
// query. The request itself is not modified.
func extractKey(r *http.Request) (keys requestKeys, cookies []string, query string, e *corianderwing.Error) {
	for _, v := range r.Header["Authorization"] {
		if key, ok := bearer(v); ok {
			keys.add(key)
		}
	}
	for _, v := range r.Header["X-Api-Key"] {
		keys.add(strings.TrimSpace(v))
	}
	cookies = keys.stripCookies(r.Header["Cookie"])
	query, ok := keys.stripQuery(r.URL.RawQuery)
	switch {
	case !ok:
		e = corianderwing.Errorf(corianderwing.InvalidInput, "query has an invalid escape")
	case keys.count > 1:
		e = corianderwing.Errorf(corianderwing.DuplicateKey, "request has %d API keys", keys.count)
	}
	return keys, cookies, query, e
}

// bearer returns the key of an Authorization header with the Bearer scheme.
func bearer(v string) (string, bool) {
	const scheme = "bearer"
	v = strings.TrimLeft(v, " \t")
	if len(v) < len(scheme) || !strings.EqualFold(v[:len(scheme)], scheme) {
		return "", false
	}
	rest := v[len(scheme):]
	if rest != "" && rest[0] != ' ' && rest[0] != '\t' {
		return "", false
	}
	return strings.TrimSpace(rest), true
}

// stripCookies returns the Cookie headers without the key.
func (f *requestKeys) stripCookies(lines []string) []string {
	for _, line := range lines {
		if strings.Contains(line, keyParam) {
			return f.filterCookies(lines)
		}
	}
	return lines
}

func (f *requestKeys) filterCookies(lines []string) []string {
	var kept []string
	for _, line := range lines {
		var parts []string
		for part := range strings.SplitSeq(line, ";") {
			name, value, _ := strings.Cut(part, "=")
			if strings.TrimSpace(name) == keyParam {
				f.add(strings.Trim(strings.TrimSpace(value), `"`))
				continue
			}
			parts = append(parts, part)
		}
		if rest := strings.TrimSpace(strings.Join(parts, ";")); rest != "" {
			kept = append(kept, rest)
		}
	}
	return kept
}

// stripQuery returns the raw query without the key. Semicolons also count as
// separators, because some upstreams treat them as such.
func (f *requestKeys) stripQuery(raw string) (string, bool) {
	if !strings.Contains(raw, "key") && !strings.Contains(raw, "%") {
		return raw, true
	}
	var b strings.Builder
	sep := ""
	for raw != "" {
		part, next := raw, ""
		if i := strings.IndexAny(raw, "&;"); i >= 0 {
			part, next = raw[:i], raw[i:i+1]
		}
		raw = raw[len(part)+len(next):]
		name, value, _ := strings.Cut(part, "=")
		name, err := url.QueryUnescape(name)
		if err != nil {
			return "", false
		}
		if name == keyParam {
			key, err := url.QueryUnescape(value)
			if err != nil {
				return "", false
			}
			f.add(key)
			continue
		}
		b.WriteString(sep)
		b.WriteString(part)
		sep = next
	}
	return b.String(), true
}

// hasher computes keyed hashes without allocating.
type hasher struct {
	pool sync.Pool
}

type macState struct {
	mac hash.Hash
	in  []byte
	out corianderwing.KeyHash
}

func newHasher(secret []byte) *hasher {
	secret = append([]byte(nil), secret...)
	h := &hasher{}
	h.pool.New = func() any { return &macState{mac: hmac.New(sha256.New, secret)} }
	return h
}

// hash returns the same hash as corianderwing.HashKey.
func (h *hasher) hash(key string) corianderwing.KeyHash {
	k := h.pool.Get().(*macState)
	k.mac.Reset()
	k.in = append(k.in[:0], key...)
	k.mac.Write(k.in)
	k.mac.Sum(k.out[:0])
	out := k.out
	clear(k.in)
	h.pool.Put(k)
	return out
}
