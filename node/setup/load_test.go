package setup_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/node/setup"
)

const validSettings = `VM = "vm-1"
Zone = "zone-a"
Region = "south"
CallerAddress = "0.0.0.0:7001"
TargetAddress = "127.0.0.1:7002"
PeerAddress = "10.0.0.7:7003"
OperatorAddress = "10.0.0.7:7004"
StoreEndpoints = ["http://10.0.0.2:2379"]
Seeds = ["10.0.0.8:7003"]

[Trace]
Exporter = "file"
File = "/tmp/\\spans"
Sample = 0.5
`

func TestParseAndRenderRoundTrip(t *testing.T) {
	s, problems := setup.Parse("f", []byte(validSettings))
	assert.Equal(t, problems.String(), "")
	assert.DeepEqual(t, s, setup.Settings{
		VM: "vm-1", Zone: "zone-a", Region: "south",
		CallerAddress: "0.0.0.0:7001", TargetAddress: "127.0.0.1:7002",
		PeerAddress: "10.0.0.7:7003", OperatorAddress: "10.0.0.7:7004",
		StoreEndpoints: []string{"http://10.0.0.2:2379"}, Seeds: []string{"10.0.0.8:7003"},
		Policy: gage.PolicyAdaptive, LogLevel: "info", MemoryMB: 256, StopTimeout: 30 * time.Second,
		Trace: setup.Trace{Exporter: setup.ExporterFile, File: `/tmp/\spans`, Sample: 0.5},
	})
	reparsed, problems := setup.Parse("f", setup.Render(s))
	assert.Equal(t, problems.String(), "")
	assert.DeepEqual(t, reparsed, s)
}

func TestLimitsOfTheProcess(t *testing.T) {
	text := strings.Replace(validSettings, "[Trace]", "MemoryMB = 512\nFileDescriptors = 4096\n[Trace]", 1)
	s, problems := setup.Parse("f", []byte(text))
	assert.Equal(t, problems.String(), "")
	assert.Equal(t, s.MemoryMB, 512)
	assert.Equal(t, s.FileDescriptors, 4096)
	reparsed, problems := setup.Parse("f", setup.Render(s))
	assert.Equal(t, problems.String(), "")
	assert.DeepEqual(t, reparsed, s)
}

func TestParseRefusesInvalidSettings(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"dot in VM", `"vm-1"`, `"vm.1"`, `f:1: VM = "vm.1": must be 1 to 64 letters`},
		{"missing zone", `Zone = "zone-a"`, ``, `f:1: Zone = (missing): must be 1 to 64 letters`},
		{"host name in an address", `"127.0.0.1:7002"`, `"localhost:7002"`, `f:5: TargetAddress = "localhost:7002": must be an IP number and a port`},
		{"port of 0", `"127.0.0.1:7002"`, `"127.0.0.1:0"`, `f:5: TargetAddress = "127.0.0.1:0": must be an IP number and a port above 0`},
		{"unspecified address for peers", `"10.0.0.7:7003"`, `"0.0.0.0:7003"`, `f:6: PeerAddress = "0.0.0.0:7003": must be an IP number and a port above 0 in a string, such as "10.0.0.7:7001", and an IP number that other`},
		{"duplicate address", `"10.0.0.7:7004"`, `"10.0.0.7:7003"`, `f:7: OperatorAddress = "10.0.0.7:7003": must be unique; PeerAddress in line 6 is the same`},
		{"empty list of store endpoints", `["http://10.0.0.2:2379"]`, `[]`, `f:8: StoreEndpoints = []: must be a list of one to 16 URLs`},
		{"store endpoint with a path", `2379"`, `2379/v3"`, `f:8: StoreEndpoints[0] = "http://10.0.0.2:2379/v3": must be a list`},
		{"seed of the wrong type", `["10.0.0.8:7003"]`, `[7003]`, `f:9: Seeds[0] = 7003: must be an IP number and a port`},
		{"unknown policy", `[Trace]`, "Policy = \"Best\"\n[Trace]", `f:11: Policy = "Best": must be one of Adaptive, Fixed, None, QueueDelay`},
		{"unknown log level", `[Trace]`, "LogLevel = \"loud\"\n[Trace]", `f:11: LogLevel = "loud": must be one of debug, info, warn, error`},
		{"bare number as duration", `[Trace]`, "StopTimeout = 5\n[Trace]", `f:11: StopTimeout = 5: must be a duration in a string`},
		{"too little memory", `[Trace]`, "MemoryMB = 63\n[Trace]", `f:11: MemoryMB = 63: must be a whole number from 64 to 1048576`},
		{"part of a descriptor", `[Trace]`, "FileDescriptors = 1000.5\n[Trace]", `f:11: FileDescriptors = 1000.5: must be a whole number from 400 to 16777216`},
		{"unknown field", `[Trace]`, "Speed = 5\n[Trace]", `f:11: Speed = 5: unknown field; allowed here: CallerAddress, FileDescriptors, LogLevel, MemoryMB`},
		{"unknown field of a table", `Sample = 0.5`, "Sample = 0.5\nRatio = 1", `f:15: Trace.Ratio = 1: unknown field; allowed here: Endpoint, Exporter, File, Sample`},
		{"number in place of a table", "[Trace]", "Trace = 3\n[Other]", `f:11: Trace = 3: must be a table with Endpoint`},
		{"sample above 1", `Sample = 0.5`, `Sample = 2`, `f:14: Trace.Sample = 2: must be a number from 0 to 1`},
		{"endpoint with another exporter", `Sample = 0.5`, `Endpoint = "10.0.0.9:4318"`, `f:14: Trace.Endpoint = "10.0.0.9:4318": is allowed only with Exporter = "otlphttp"`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(validSettings, tt.old))
			_, problems := setup.Parse("f", []byte(strings.Replace(validSettings, tt.old, tt.new, 1)))
			assert.Assert(t, len(problems) >= 1)
			assert.Assert(t, strings.HasPrefix(problems[0].String(), tt.want), problems.String())
		})
	}
}

func TestLoadReportsMissingFile(t *testing.T) {
	_, problems := setup.Load("no-such-file.toml")
	assert.Equal(t, len(problems), 1)
	assert.Assert(t, strings.Contains(problems[0].Allowed, "cannot be read"))
}
