package corianderwing

// IDs are distinct types, so that the compiler rejects a workspace ID where a
// service ID is expected. IDs are non-empty and hold only the characters that
// ValidID allows.
type (
	// WorkspaceID identifies a workspace, which owns keys, rate and burst.
	WorkspaceID string
	// ServiceID identifies a service within a workspace.
	ServiceID string
	// RouteID identifies a route within a service.
	RouteID string
	// PoolID identifies a set of interchangeable upstreams. Services of several
	// workspaces may use the same pool.
	PoolID string
	// InstanceID identifies one process of the system.
	InstanceID string
	// DomainID identifies a failure domain.
	DomainID string
	// RegionID identifies a region, which contains one or more failure domains.
	RegionID string
	// UpstreamID identifies one upstream process.
	UpstreamID string
	// GroupID identifies a control group: the voters that replicate one log.
	GroupID string
	// RequestID identifies one request of a caller or an operator.
	RequestID string
	// VersionID identifies a version of an upstream.
	VersionID string
	// KeyID is the public ID of a key; it reveals nothing about the secret.
	KeyID string
	// KeyHash is the HMAC-SHA-256 of a caller's key. Keys are stored and
	// logged in no other form.
	KeyHash [32]byte
)

// Revision counts the accepted changes of one group's settings and keys.
type Revision uint64

// Incarnation numbers the restarts of one instance or upstream. It increases each
// time the process starts.
type Incarnation uint64

// MaxIDLen is the maximum length of an ID in bytes.
const MaxIDLen = 64

// ValidID reports whether s is a valid ID: 1 to MaxIDLen lower-case letters,
// digits, dots and hyphens, starting with a letter or a digit.
func ValidID(s string) bool {
	if s == "" || len(s) > MaxIDLen || s[0] == '-' || s[0] == '.' {
		return false
	}
	for i := 0; i < len(s); i++ {
		if !isIDByte(s[i]) {
			return false
		}
	}
	return true
}

func isIDByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z':
		return true
	case c >= '0' && c <= '9':
		return true
	}
	return c == '-' || c == '.'
}
