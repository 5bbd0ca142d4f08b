package corianderwing

import "context"

// LinkBound returns the ID of the bandwidth limit from one region to another.
func LinkBound(from, to RegionID) BoundID { return BoundID("link/" + string(from) + "/" + string(to)) }

// LinkCap is the bandwidth cap of one direction of a link between regions. Every
// process must compute the same values from the settings file.
type LinkCap struct {
	From    RegionID
	To      RegionID
	Cap     BytesPerSecond // for all traffic combined
	Group   GroupID        // group whose leader grants tokens from the pool
	Domains []DomainID     // failure domains of From, among whose seats the fixed fraction is divided
}

// LinkLimiter limits the bandwidth that this instance uses to other regions. The
// sender of the bytes acquires the tokens of their direction: the first entry
// instance for a request, the pool owner for its response.
type LinkLimiter interface {
	// Reserve reserves bandwidth for n bytes that will be sent to a region later.
	// It fails with LinkFull if the available tokens do not cover them and all
	// other reservations. A reservation is for admission control only; it consumes
	// no tokens.
	Reserve(ctx context.Context, to RegionID, n Bytes) error
	// Release ends a reservation of n bytes. It must be called when sending begins.
	Release(to RegionID, n Bytes)
	// Acquire consumes tokens for up to n bytes that are sent immediately
	// afterwards, and returns the number of bytes covered. It blocks until that is
	// at least one, or fails with the cause of ctx.
	Acquire(ctx context.Context, to RegionID, n Bytes) (Bytes, error)
}
