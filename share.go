package corianderwing

// BoundID identifies a fleet-wide limit, such as the rate of one workspace.
type BoundID string

// RateBound returns the ID of the limit on a workspace's rate and burst.
func RateBound(w WorkspaceID) BoundID { return BoundID("rate/" + string(w)) }

// TokenReport reports a holder's use of a limit's tokens since its previous report,
// and requests more.
type TokenReport struct {
	Bound     BoundID `json:"bound"`
	Spent     Tokens  `json:"spent,omitempty"` // granted tokens used since the previous report
	Held      Tokens  `json:"held,omitempty"`  // granted tokens not used yet
	Returned  Tokens  `json:"give,omitempty"`  // tokens of the fixed fraction returned to the pool, already deducted by the holder
	Requested Tokens  `json:"want,omitempty"`
}

// Grant transfers tokens from a grantor's pool to a holder for a limited time.
type Grant struct {
	Bound     BoundID `json:"bound"`
	Tokens    Tokens  `json:"tokens"`
	ExpiresIn Millis  `json:"left"` // time until the tokens expire, measured from when the holder sent its request
}

// RenewRequest requests a freshness lease and tokens from the leader of a group.
type RenewRequest struct {
	Group       GroupID       `json:"group"`
	Instance    InstanceID    `json:"instance"`
	Incarnation Incarnation   `json:"incarnation"`
	Domain      DomainID      `json:"domain"`
	Seq         uint64        `json:"seq"` // increases with each renewal; a repeated one gets the cached response
	Revision    Revision      `json:"revision"`
	Term        Term          `json:"term"` // of the leader that sent the latest response before this request was created
	Reports     []TokenReport `json:"spends,omitempty"`
}

// RenewResponse is the response to a RenewRequest.
type RenewResponse struct {
	Revision      Revision `json:"revision"` // the holder's settings are current once its snapshot has this revision
	LeaseDuration Millis   `json:"left"`     // length of the lease, measured from when the holder sent its request
	Grants        []Grant  `json:"grants,omitempty"`
	Term          Term     `json:"term"`            // of the leader
	Recovering    bool     `json:"quiet,omitempty"` // the leader is new and does not know yet which grants its predecessors made
}
