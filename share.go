package corianderwing

// BoundID names a fleet-wide bound, such as the rate of one workspace.
type BoundID string

// RateBound returns the bound on a workspace's rate and burst.
func RateBound(w WorkspaceID) BoundID { return BoundID("rate/" + string(w)) }

// TokenReport reports what a holder did with a bound since its last report, and
// asks for more.
type TokenReport struct {
	Bound BoundID `json:"bound"`
	Spent Tokens  `json:"spent,omitempty"` // granted tokens used since the last report
	Held  Tokens  `json:"held,omitempty"`  // granted tokens still unspent
	Give  Tokens  `json:"give,omitempty"`  // tokens of the fixed part, moved to the pool and already deducted
	Want  Tokens  `json:"want,omitempty"`
}

// Grant moves tokens from a grantor's pool to a holder, for a limited time.
type Grant struct {
	Bound  BoundID `json:"bound"`
	Tokens Tokens  `json:"tokens"`
	Left   Millis  `json:"left"` // time until the tokens expire, counted from when the holder asked
}

// RenewRequest asks the leader of a group for a freshness lease and for tokens.
type RenewRequest struct {
	Group       GroupID       `json:"group"`
	Instance    InstanceID    `json:"instance"`
	Incarnation Incarnation   `json:"incarnation"`
	Domain      DomainID      `json:"domain"`
	Seq         uint64        `json:"seq"` // grows with each renewal; a repeated one is answered from memory
	Revision    Revision      `json:"revision"`
	Term        Term          `json:"term"` // of the leader that answered last, before this was made
	Reports     []TokenReport `json:"spends,omitempty"`
}

// RenewResponse answers Renew.
type RenewResponse struct {
	Revision   Revision `json:"revision"` // the holder is fresh once its snapshot has this revision
	Left       Millis   `json:"left"`     // length of the lease, counted from when the holder asked
	Grants     []Grant  `json:"grants,omitempty"`
	Term       Term     `json:"term"`            // of the leader
	Recovering bool     `json:"quiet,omitempty"` // the leader is new and does not know yet what its predecessors granted
}
