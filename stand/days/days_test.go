package days_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage/graph"
	"github.com/greengagewind/greengagewind/stand/days"
)

const example = "../../examples/days/lost-target.toml"

func TestPrintCoversEachPolicy(t *testing.T) {
	t.Parallel()
	scenario, err := days.Read(example)
	assert.NilError(t, err)
	scenario.Length = 2 * time.Second
	var out bytes.Buffer
	policies := []graph.Policy{graph.PolicyOpen, graph.PolicyFixed, graph.PolicyChain, graph.PolicyBrake}
	assert.NilError(t, days.Print(&out, scenario, policies, true))
	text := out.String()
	for _, policy := range policies {
		assert.Equal(t, strings.Count(text, "\t"+string(policy)+"\t"), 3, "a row for each kind that callers send")
		assert.Assert(t, strings.Contains(text, string(policy)+": Goodput"))
	}
	assert.Assert(t, !strings.Contains(text, "\x1b"), "colors only on a terminal")
	var withoutPlots bytes.Buffer
	assert.NilError(t, days.Print(&withoutPlots, scenario, policies[:1], false))
	assert.Equal(t, strings.Count(withoutPlots.String(), "\n"), 4)
}

func TestSimulationIsDeterministic(t *testing.T) {
	t.Parallel()
	scenario, err := days.Read(example)
	assert.NilError(t, err)
	scenario.Length, scenario.Policy = 2*time.Second, graph.PolicyBrake
	assert.DeepEqual(t, graph.Simulate(scenario), graph.Simulate(scenario))
}

func TestReadRejectsInvalidScenarios(t *testing.T) {
	t.Parallel()
	text, err := os.ReadFile(example)
	assert.NilError(t, err)
	cases := []struct{ name, old, replacement, want string }{
		{"length", `Length = "24s"`, `Length = "24"`, "24"},
		{"too long", `Length = "24s"`, `Length = "24h"`, "allowed are 1s to 1h"},
		{"unknown key", "Seed = 20261204", "Sead = 1", "Sead"},
		{"no slots", "Slots = 60", "Slots = 0", `service "search" needs Slots`},
		{"speed", "Speeds = [0.7, 0.7, 1.6]", "Speeds = [0.7, 0]", "a speed is 0"},
		{"service of a kind", `Service = "search"`, `Service = "other"`, `there is no service "other"`},
		{"service of a trouble", "For = \"12s\"\nService = \"ceremony\"", "For = \"12s\"\nService = \"other\"", `trouble 1: there is no service "other"`},
		{"call of an unknown kind", `Calls = ["calendar-read"]`, `Calls = ["none"]`, `which is not a nested kind`},
		{"cycle", `Deadline = "700ms"`, "Deadline = \"700ms\"\nCalls = [\"calendar-read\"]", "contain a cycle"},
		{"returns", "PerSecond = 160.0\nReturns = 1", "PerSecond = 160.0\nReturns = -1", `kind "lookup": Returns is -1, allowed are 0 to 10`},
		{"rate", "PerSecond = 160.0", "PerSecond = -1.0", `kind "lookup"`},
		{"trouble without an end", `For = "12s"`, `For = "0s"`, "For above 0"},
		{"trouble without a service", "Service = \"ceremony\"\nLose = 2", "Lose = 2", "need a Service"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			assert.Assert(t, strings.Contains(string(text), c.old))
			path := filepath.Join(t.TempDir(), "day.toml")
			assert.NilError(t, os.WriteFile(path, []byte(strings.ReplaceAll(string(text), c.old, c.replacement)), 0o600))
			_, err := days.Read(path)
			assert.ErrorContains(t, err, c.want)
		})
	}
	_, err = days.Read("none.toml")
	assert.ErrorContains(t, err, "none.toml")
}
