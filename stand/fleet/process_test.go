package fleet_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/stand/fleet"
)

// startShell runs a shell script and waits until it has written output.
func startShell(t *testing.T, script string) *fleet.Process {
	t.Helper()
	output := filepath.Join(t.TempDir(), "p.log")
	p, err := fleet.StartProcess("p", output, "/bin/sh", "-c", script)
	assert.NilError(t, err)
	for range 1000 {
		if text, _ := os.ReadFile(output); len(text) > 0 {
			return p
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the process wrote no output within 10 s")
	return nil
}

func TestStopReportsExit(t *testing.T) {
	const graceful = "trap 'exit 0' TERM; echo ready; while :; do sleep 0.02; done"
	const failing = "trap 'exit 3' TERM; echo ready; while :; do sleep 0.02; done"
	const ignoring = "trap '' TERM; echo ready; while :; do sleep 0.02; done"
	cases := []struct {
		name    string
		script  string
		timeout time.Duration
		want    string
	}{
		{"graceful", graceful, 20 * time.Second, ""},
		{"failing", failing, 20 * time.Second, "failed during shutdown"},
		{"ignores SIGTERM", ignoring, 300 * time.Millisecond, "was killed"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := startShell(t, c.script)
			err := p.Stop(c.timeout)
			if c.want == "" {
				assert.NilError(t, err)
			} else {
				assert.ErrorContains(t, err, c.want)
			}
			assert.Assert(t, !p.Running())
		})
	}
}

func TestStopReportsEarlierExit(t *testing.T) {
	p := startShell(t, "echo ready; exit 0")
	for range 500 {
		if !p.Running() {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	assert.ErrorContains(t, p.Stop(time.Second), "exited before it was stopped")
}

func TestScaleKeepsAtLeastOneSlot(t *testing.T) {
	layout := &fleet.Layout{VM: []fleet.VM{{Target: []fleet.Target{
		{Slots: 150, ColdSlots: 40, ServiceTime: fleet.Duration(10 * time.Millisecond)},
		{Slots: 2, ColdSlots: 1},
	}}}}
	layout.Scale(5, 2)
	targets := layout.VM[0].Target
	assert.Equal(t, targets[0].Slots, 30)
	assert.Equal(t, targets[0].ColdSlots, 30)
	assert.Equal(t, time.Duration(targets[0].ServiceTime), 20*time.Millisecond)
	assert.Equal(t, targets[1].Slots, 1)
}
