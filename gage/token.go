package gage

import "time"

// TokenRequest asks an issuer for tokens of the fleet-wide rate of a workspace.
type TokenRequest struct {
	// ID is chosen at random. The grant repeats it.
	ID        uint64
	Workspace string
	// Count is the number of tokens wanted, at least 1.
	Count int
	// Returning is true for a caller who was refused before.
	Returning bool
	// Last is true if no other issuer is asked after this one. The issuer then keeps
	// a token for the caller until it returns.
	Last bool
}

// TokenStatus says how an issuer answered a TokenRequest.
type TokenStatus string

// The values of TokenStatus.
const (
	// TokensGranted means that the issuer granted one token or more.
	TokensGranted TokenStatus = "Granted"
	// TokensRefused means that the issuer has no tokens left.
	TokensRefused TokenStatus = "Refused"
	// NotIssuer means that the node does not issue tokens of the workspace.
	NotIssuer TokenStatus = "NotIssuer"
)

// TokenGrant answers a TokenRequest.
type TokenGrant struct {
	ID     uint64
	Status TokenStatus
	// Count is the number of tokens granted, at least 1 if Status is TokensGranted.
	Count int
	// Wait is how long the caller should wait before it returns, if Status is
	// TokensRefused.
	Wait time.Duration
}
