package root_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/ggw/cli"
)

// TestConfigApplyViaNode checks that a file sent to a node is applied exactly
// once, even if the node is down or does not know the outcome.
func TestConfigApplyViaNode(t *testing.T) {
	tests := []struct {
		name           string
		isReachable    bool
		outcomeUnknown bool
		wantStderr     string
	}{
		{name: "node applies the file", isReachable: true},
		{name: "node does not know the outcome", isReachable: true, outcomeUnknown: true},
		{name: "node is down", wantStderr: "ggw: call node n:1: connection refused; applying directly to the store instead\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness()
			if tt.isReachable {
				h.nodeClient.store = h.store
			}
			h.nodeClient.outcomeUnknown = tt.outcomeUnknown
			code := h.run(applyArgs(writeConfig(t, exampleConfig), "--node", "n:1")...)
			assert.Equal(t, code, cli.ExitOK, h.stderr.String())
			assert.DeepEqual(t, h.nodeClient.calledNodes, []string{"n:1"})
			assert.Equal(t, h.stdout.String(), "generation 1 is in force\n")
			assert.Equal(t, h.stderr.String(), tt.wantStderr)
			assert.Equal(t, h.store.entry.Revision, int64(1))
			assert.Assert(t, bytes.HasSuffix(h.store.entry.Value, []byte(exampleConfig)))
		})
	}
}

func TestConfigApplyViaNodeConflict(t *testing.T) {
	h := newHarness()
	h.nodeClient.store = h.store
	path := writeConfig(t, exampleConfig)
	assert.Equal(t, h.run(applyArgs(path)...), cli.ExitOK)
	assert.Equal(t, h.run(applyArgs(path, "--node", "n:1", "--base", "0")...), cli.ExitConflict)
	assert.Equal(t, h.store.entry.Revision, int64(1))
}
