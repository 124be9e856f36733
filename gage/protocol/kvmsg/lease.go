package kvmsg

// GrantRequest requests a lease. If ID is 0, the store chooses the ID.
type GrantRequest struct {
	// TTL is in seconds.
	TTL int64 `json:"TTL,string"`
	ID  int64 `json:"ID,string,omitempty"`
}

// GrantResponse holds the ID and the TTL, in seconds, of the granted lease.
type GrantResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
	Error  string `json:"error,omitempty"`
}

// KeepAliveRequest renews a lease.
type KeepAliveRequest struct {
	ID int64 `json:"ID,string"`
}

// KeepAliveResponse holds the new TTL, in seconds. The TTL is 0 if the lease has
// expired.
type KeepAliveResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// KeepAliveLine is one line of the stream that answers a KeepAliveRequest.
type KeepAliveLine struct {
	Result *KeepAliveResponse `json:"result,omitempty"`
	Error  *Error             `json:"error,omitempty"`
}

// RevokeRequest revokes a lease and deletes the keys attached to it.
type RevokeRequest struct {
	ID int64 `json:"ID,string"`
}

// RevokeResponse answers a RevokeRequest.
type RevokeResponse struct {
	Header Header `json:"header"`
}
