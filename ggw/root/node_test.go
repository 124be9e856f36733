package root_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/protocol/oper"
	"github.com/greengagewind/greengagewind/gage/state/recent"
	"github.com/greengagewind/greengagewind/ggw/cli"
)

func exampleStatus() oper.Status {
	return oper.Status{
		VM: "vm-1", Zone: "zone-a", Region: "south", Generation: 4, ConfirmedAgeMillis: 1200,
		ZonesOut: []string{"zone-b"}, TargetsOut: []string{"search-1"},
		Members: []gage.Member{
			{
				VM: "vm-3", Zone: "zone-b", Region: "south", OperatorAddress: "10.0.0.3:7004", Phase: gage.MemberSuspect, Generation: 3,
				Targets: []gage.TargetRecord{{Name: "crew-1", Service: "crew", Phase: gage.TargetServing}},
			},
			{
				VM: "vm-1", Zone: "zone-a", Region: "south", OperatorAddress: "10.0.0.1:7004", Phase: gage.MemberAlive, Generation: 4,
				Targets: []gage.TargetRecord{{Name: "search-1", Service: "search", Phase: gage.TargetDraining}},
			},
			{
				VM: "vm-2", Zone: "zone-a", Region: "south", OperatorAddress: "10.0.0.2:7004", Phase: gage.MemberAlive, Generation: 3,
				Targets: []gage.TargetRecord{{Name: "search-2", Service: "search", Phase: gage.TargetServing, ColdUntil: 1_000_001}},
			},
		},
	}
}

func TestStatus(t *testing.T) {
	tests := []struct {
		name       string
		isTerminal bool
		args       []string
	}{
		{"status-terminal", true, nil},
		{"status-piped", false, nil},
		{"status-zone", false, []string{"--zone", "zone-b"}},
		{"status-json", false, []string{"--json", "--zone", "zone-b"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness()
			h.isTerminal = tt.isTerminal
			h.nodeClient.status = exampleStatus()
			assert.Equal(t, h.run(append([]string{"status", "--node", "10.0.0.1:7004"}, tt.args...)...), cli.ExitOK)
			golden.Assert(t, h.stdout.String(), tt.name+".golden")
		})
	}
}

func TestStatusFailures(t *testing.T) {
	h := newHarness()
	assert.Equal(t, h.run("status", "--node", "10.0.0.9:7004"), cli.ExitFailure)
	assert.Equal(t, h.stderr.String(), "ggw: call node 10.0.0.9:7004: connection refused; specify another node with --node\n")
	assert.Equal(t, h.run("status", "--node", "10.0.0.1:7004", "--zone", "z"), cli.ExitFailure)
	assert.Assert(t, strings.Contains(h.stderr.String(), "no VM in zone z is known"))
}

// TestExplain checks that explain queries the node that received the request and
// then the nodes on the VMs of its targets, and that it reports a node that does
// not respond.
func TestExplain(t *testing.T) {
	at := time.UnixMilli(1000).UTC()
	h := newHarness()
	h.nodeClient.status = exampleStatus()
	h.nodeClient.explanations = map[string]oper.Explanation{
		"10.0.0.1:7004": {Events: []recent.Event{
			{At: at.Add(time.Millisecond), RequestID: "vm-1.x", VM: "vm-1", Event: recent.Attempted, Target: "search-2", Attempt: 1},
			{At: at.Add(4 * time.Millisecond), RequestID: "vm-1.x", VM: "vm-1", Event: recent.Attempted, Target: "crew-1", Attempt: 2},
		}},
		"10.0.0.2:7004": {Events: []recent.Event{
			{
				At: at, RequestID: "vm-1.x", VM: "vm-2", Event: recent.Admitted, Target: "search-2", Attempt: 1,
				Outcome: gage.OutcomeNotRun, Reason: gage.ReasonColdStart, Detail: "The target is starting.",
			},
		}},
	}
	assert.Equal(t, h.run("explain", "--node", "10.0.0.1:7004", "vm-1.x"), cli.ExitOK)
	assert.Equal(t, h.stdout.String(), ""+
		"00:00:01.000\tvm-2\tAdmitted\tvm-1.x\t1\tsearch-2\tNotRun\tColdStart\tThe target is starting.\n"+
		"00:00:01.001\tvm-1\tAttempted\tvm-1.x\t1\tsearch-2\t\t\t\n"+
		"00:00:01.004\tvm-1\tAttempted\tvm-1.x\t2\tcrew-1\t\t\t\n")
	assert.Equal(t, h.stderr.String(), "ggw: call node 10.0.0.3:7004: connection refused; events of this node are missing\n")
	assert.DeepEqual(t, h.nodeClient.calledNodes, []string{"10.0.0.1:7004", "10.0.0.2:7004", "10.0.0.3:7004"})
}

func TestExplainFailures(t *testing.T) {
	tests := []struct{ name, id, want string }{
		{"unknown VM", "vm-9.x", "vm-1 has no VM vm-9 in its member list; check the ID"},
		{"node is down", "vm-3.x", "call node 10.0.0.3:7004: connection refused; see the logs of vm-3"},
		{"no events recorded", "vm-2.x", "no node has events of vm-2.x; nodes keep only recent requests"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness()
			h.nodeClient.status = exampleStatus()
			h.nodeClient.explanations = map[string]oper.Explanation{"10.0.0.2:7004": {}}
			assert.Equal(t, h.run("explain", "--node", "10.0.0.1:7004", tt.id), cli.ExitFailure)
			assert.Assert(t, strings.HasPrefix(h.stderr.String(), "ggw: "+tt.want), h.stderr.String())
		})
	}
}
