package corianderwing

import "time"

// Units of limits and sizes.
type (
	// Bytes is a size in bytes.
	Bytes int64
	// BytesPerSecond is a data rate.
	BytesPerSecond int64
	// Tokens counts requests admitted under a rate.
	Tokens int64
	// TokensPerSecond is a request rate.
	TokensPerSecond float64
	// Slots counts requests that an upstream executes concurrently.
	Slots int
	// Conns counts connections.
	Conns int
)

// MaxClockDrift is the maximum relative clock drift that leases tolerate. A holder
// stops earlier and a grantor waits longer by this fraction of the lease.
const MaxClockDrift = 0.01

// HolderDeadline returns when the holder must stop using a lease of length d that
// it requested at sent.
func HolderDeadline(sent time.Time, d time.Duration) time.Time {
	return sent.Add(d - time.Duration(float64(d)*MaxClockDrift))
}

// GrantorDeadline returns when the grantor may treat a lease of length d,
// given at now, as expired.
func GrantorDeadline(now time.Time, d time.Duration) time.Time {
	return now.Add(d + time.Duration(float64(d)*MaxClockDrift))
}
