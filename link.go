package corianderwing

import "context"

// LinkBound returns the bound on what one region sends to another.
func LinkBound(from, to RegionID) BoundID { return BoundID("link/" + string(from) + "/" + string(to)) }

// LinkCap is the cap of one direction of a link. Every process must compute
// the same values from the settings file.
type LinkCap struct {
	From    RegionID
	To      RegionID
	Cap     BytesPerSecond // for all traffic together
	Group   GroupID        // its leader grants from the token pool
	Domains []DomainID     // failure domains of From, over whose seats the fixed part is divided
}

// LinkLimiter bounds what this instance sends to other regions. The sender of bytes
// holds the tokens of their direction: the first entry instance those of a
// request, the pool owner those of its answer.
type LinkLimiter interface {
	// Reserve books n bytes that will be sent to a region later. It fails with
	// LinkFull if the tokens at hand do not cover them and all other bookings.
	// A booking decides only whether to begin; it takes no tokens.
	Reserve(ctx context.Context, to RegionID, n Bytes) error
	// Release ends a booking of n bytes. It is due when sending begins.
	Release(to RegionID, n Bytes)
	// Acquire takes tokens for up to n bytes that are sent immediately afterwards,
	// and returns for how many. It waits until that is at least one, or fails
	// with the cause of ctx.
	Acquire(ctx context.Context, to RegionID, n Bytes) (Bytes, error)
}
