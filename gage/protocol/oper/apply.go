package oper

// PathApply is the path of POST requests with an ApplyRequest. The answer is an
// apply.Result.
const PathApply = "/v1/apply"

// ApplyRequest asks a node to put a configuration file in force. The node itself
// writes the file to the store, so that it can replicate the accepted
// configuration to the fleet even if the store fails right after the write.
type ApplyRequest struct {
	// File is the text of the configuration file.
	File []byte
	// Base is the configuration generation that the file was edited from.
	Base int64
	// ID identifies the apply. It is unique, but the same in all requests of one
	// apply.
	ID string
}
