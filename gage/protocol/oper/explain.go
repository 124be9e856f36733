package oper

import (
	"strings"

	"github.com/greengagewind/greengagewind/gage/state/recent"
)

// Explanation is the answer to GET PathExplain. Events is empty if the node has
// recorded no events of the request or has already discarded them.
type Explanation struct {
	RequestID string
	Events    []recent.Event
}

// VMOf returns the VM whose node received the request with requestID. A
// RequestID has the form VM.RANDOM; ok is false for any other form.
func VMOf(requestID string) (vm string, ok bool) {
	vm, random, found := strings.Cut(requestID, ".")
	return vm, found && vm != "" && random != ""
}
