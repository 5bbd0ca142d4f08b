package corianderwing

import "time"

// Units of bounds and sizes.
type (
	// Bytes is a size or a volume.
	Bytes int64
	// BytesPerSecond is a data rate.
	BytesPerSecond int64
	// Tokens counts requests admitted under a rate.
	Tokens int64
	// TokensPerSecond is a request rate.
	TokensPerSecond float64
	// Slots counts requests that an upstream runs at the same time.
	Slots int
	// Conns counts connections.
	Conns int
)

// MaxClockDrift is the largest relative error of a clock's rate that leases allow
// for. A holder stops this much earlier and a grantor waits this much longer.
const MaxClockDrift = 0.01

// HolderDeadline returns when the holder of a lease must stop, for a lease of
// length d that was asked for at sent.
func HolderDeadline(sent time.Time, d time.Duration) time.Time {
	return sent.Add(d - time.Duration(float64(d)*MaxClockDrift))
}

// GrantorDeadline returns when the grantor may treat a lease of length d,
// given at now, as expired.
func GrantorDeadline(now time.Time, d time.Duration) time.Time {
	return now.Add(d + time.Duration(float64(d)*MaxClockDrift))
}
