// Package oper defines the messages that nodes and the operators' command line
// tool exchange over HTTP.
package oper

import "github.com/greengagewind/greengagewind/gage"

// URL paths at the OperatorAddress of a node.
const (
	PathStatus = "/v1/status"
	// PathExplain is followed by a RequestID.
	PathExplain = "/v1/explain/"
)

// Status is the answer to GET PathStatus. It describes the fleet according to the
// state of one node.
type Status struct {
	VM     string
	Zone   string
	Region string
	// Generation is that of the configuration in force at the node, or 0 if there
	// is none.
	Generation int64
	// ConfirmedAgeMillis is the time since the generation was last confirmed to be
	// the newest in the store, or -1 if it never was.
	ConfirmedAgeMillis int64
	// ZonesOut and TargetsOut are the names that the configuration in force
	// takes out of service.
	ZonesOut   []string
	TargetsOut []string
	Members    []gage.Member
}
