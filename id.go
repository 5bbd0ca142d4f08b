package corianderwing

// Ids are named types, so that the compiler rejects a workspace where a
// service is expected. All of them are non-empty and hold only the characters
// that ValidID allows.
type (
	// WorkspaceID names a workspace, the unit that owns keys, rate and burst.
	WorkspaceID string
	// ServiceID names a service within a workspace.
	ServiceID string
	// RouteID names a route within a service.
	RouteID string
	// PoolID names a set of interchangeable upstreams. Services of several
	// workspaces may use the same pool.
	PoolID string
	// InstanceID names one process of the system.
	InstanceID string
	// DomainID names a failure domain.
	DomainID string
	// RegionID names a region, which holds one failure domain or more.
	RegionID string
	// UpstreamID names one upstream process.
	UpstreamID string
	// GroupID names a control group: the voters that agree on one log.
	GroupID string
	// RequestID identifies one request of a caller or an operator.
	RequestID string
	// VersionID names a version of an upstream.
	VersionID string
	// KeyID is the public name of a key; it reveals nothing of its secret.
	KeyID string
	// KeyHash is the HMAC-SHA-256 of a caller's key. Keys are stored and
	// logged in no other form.
	KeyHash [32]byte
)

// Revision counts the accepted changes of one group's settings and keys.
type Revision uint64

// Incarnation orders the lives of one instance or upstream. A process takes a
// higher one each time it starts.
type Incarnation uint64

// MaxIDLen is the longest id, in bytes.
const MaxIDLen = 64

// ValidID reports whether s can be an id: 1 to MaxIDLen lower-case letters,
// digits, dots and hyphens, starting with a letter or a digit.
func ValidID(s string) bool {
	if s == "" || len(s) > MaxIDLen || s[0] == '-' || s[0] == '.' {
		return false
	}
	for i := 0; i < len(s); i++ {
		if !idByte(s[i]) {
			return false
		}
	}
	return true
}

func idByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z':
		return true
	case c >= '0' && c <= '9':
		return true
	}
	return c == '-' || c == '.'
}
