// Package crash decides which requests are no longer sent to upstreams, because
// upstreams crash when they run them.
package crash

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"corianderwing"
)

// Fingerprint identifies requests that are the same to an upstream. It is a
// cryptographic hash, so that a caller cannot make a request whose fingerprint is
// that of another workspace's request.
type Fingerprint string

// Request is what a fingerprint covers. Headers are left out: they differ between
// two attempts of the same request.
type Request struct {
	Method    string
	Host      string
	URI       string // path and query as received
	Workspace corianderwing.WorkspaceID
	Body      []byte // the part that was read before the request is sent
	Length    int64  // length of the whole body; negative if unknown
}

// fingerprintBytes is the size of a fingerprint: enough that no two of the requests
// of a site share one by chance.
const fingerprintBytes = 16

// Fingerprint returns the fingerprint of the request.
func (r *Request) Fingerprint() Fingerprint {
	h := sha256.New()
	var n [8]byte
	for _, part := range [...]string{r.Method, r.Host, r.URI, string(r.Workspace)} {
		// Each part follows its length, so that no two lists of parts look alike.
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write([]byte(part))
	}
	binary.BigEndian.PutUint64(n[:], uint64(r.Length))
	h.Write(n[:])
	h.Write(r.Body)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}
