package root_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	coordapply "github.com/greengagewind/greengagewind/gage/coordination/apply"
	"github.com/greengagewind/greengagewind/ggw/cli"
)

func applyArgs(path string, extraArgs ...string) []string {
	return append([]string{"config", "apply", "--store", "http://s:1", path}, extraArgs...)
}

func showArgs(extraArgs ...string) []string {
	return append([]string{"config", "show", "--store", "http://s:1"}, extraArgs...)
}

func TestConfigApply(t *testing.T) {
	changedFile := strings.Replace(exampleConfig, "Rate = 10", "Rate = 20", 1)
	tests := []struct {
		name string
		// initialFile, unless "", is applied first as generation 1.
		initialFile string
		setUp       func(*fakeStore)
		fileText    string
		extraArgs   []string
		wantCode    int
		wantStdout  string
		// wantStderr must be part of the output to standard error.
		wantStderr string
		// wantInForce must be part of the configuration that is stored at the end.
		wantInForce string
	}{
		{name: "first file", fileText: exampleConfig, wantStdout: "generation 1 is in force\n", wantInForce: "Rate = 10"},
		{name: "base in the file", initialFile: exampleConfig, fileText: "# Generation 1\n" + changedFile, wantStdout: "generation 2 is in force\n", wantInForce: "Rate = 20"},
		{name: "base as a flag", initialFile: exampleConfig, fileText: changedFile, extraArgs: []string{"--base", "1"}, wantStdout: "generation 2 is in force\n", wantInForce: "Rate = 20"},
		{
			name: "no base and a file in force", initialFile: exampleConfig, fileText: changedFile, wantCode: cli.ExitConflict, wantInForce: "Rate = 10",
			wantStderr: "test.toml is based on no generation, but generation 1 is in force and nothing was changed; run ggw config diff, take over what the other operator changed, and apply with --base 1\n",
		},
		{
			name: "another file was applied first", initialFile: exampleConfig, fileText: changedFile, extraArgs: []string{"--base", "1"},
			setUp: func(f *fakeStore) {
				f.concurrentWrite = coordapply.PrependStamps([]coordapply.Stamp{{ID: "other", Base: 1}}, []byte(strings.Replace(exampleConfig, "Rate = 10", "Rate = 30", 1)))
			},
			wantCode: cli.ExitConflict, wantInForce: "Rate = 30", wantStderr: "is based on generation 1, but generation 2 is in force",
		},
		{
			name: "reply lost after the write", initialFile: exampleConfig, fileText: changedFile, extraArgs: []string{"--base", "1"},
			setUp:      func(f *fakeStore) { f.repliesToLose = 1 },
			wantStdout: "generation 2 is in force\n", wantInForce: "Rate = 20",
		},
		{
			name: "store is down", initialFile: exampleConfig, fileText: changedFile, extraArgs: []string{"--base", "1", "--timeout", "50ms"},
			setUp:    func(f *fakeStore) { f.isDown = true },
			wantCode: cli.ExitFailure, wantInForce: "Rate = 10",
			wantStderr: "is in force (store is down); run the same command again with --id ",
		},
		{
			name: "invalid value", initialFile: exampleConfig, fileText: strings.Replace(exampleConfig, "Burst = 5", "Burst = 1", 1), extraArgs: []string{"--base", "1"},
			wantCode: cli.ExitFailure, wantInForce: "Burst = 5", wantStderr: "test.toml:5: Workspace[0].Burst = 1: must be a number from 2 to 1e9\n",
		},
		{
			name: "too large for the store", initialFile: exampleConfig, fileText: exampleConfig + strings.Repeat("#", 999_000), extraArgs: []string{"--base", "1"},
			wantCode: cli.ExitFailure, wantInForce: "Burst = 5", wantStderr: "at most 995904 are allowed\n",
		},
		{name: "timeout of 0", fileText: exampleConfig, extraArgs: []string{"--timeout", "0s"}, wantCode: cli.ExitUsage, wantStderr: "--timeout 0s must be positive\nusage: ggw config apply "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness()
			if tt.initialFile != "" {
				assert.Equal(t, h.run(applyArgs(writeConfig(t, tt.initialFile))...), cli.ExitOK)
			}
			if tt.setUp != nil {
				tt.setUp(h.store)
			}
			code := h.run(applyArgs(writeConfig(t, tt.fileText), tt.extraArgs...)...)
			assert.Equal(t, code, tt.wantCode, h.stderr.String())
			assert.Equal(t, h.stdout.String(), tt.wantStdout)
			assert.Assert(t, strings.Contains(h.stderr.String(), tt.wantStderr), h.stderr.String())
			assert.Assert(t, strings.Contains(string(h.store.entry.Value), tt.wantInForce))
		})
	}
}

// TestConfigApplyRetryAfterLostReply retries an apply whose reply was lost, with
// the ID and base that its error message names. The retry must not apply the file
// a second time.
func TestConfigApplyRetryAfterLostReply(t *testing.T) {
	h := newHarness()
	path := writeConfig(t, exampleConfig)
	h.store.repliesToLose, h.store.downAfterLostReply = 1, true
	assert.Equal(t, h.run(applyArgs(path, "--timeout", "50ms")...), cli.ExitFailure)
	_, retryFlags, hasFlags := strings.Cut(strings.TrimSpace(h.stderr.String()), "run the same command again with ")
	assert.Assert(t, hasFlags, h.stderr.String())
	h.store.isDown = false
	assert.Equal(t, h.run(applyArgs(path, strings.Fields(retryFlags)...)...), cli.ExitOK, h.stderr.String())
	assert.Equal(t, h.stdout.String(), "generation 1 is in force\n")
	assert.Equal(t, h.store.entry.Revision, int64(1))
}

func TestConfigShowOutputCanBeApplied(t *testing.T) {
	h := newHarness()
	assert.Equal(t, h.run(showArgs()...), cli.ExitFailure)
	assert.Assert(t, strings.Contains(h.stderr.String(), "no configuration is in force yet"))
	assert.Equal(t, h.run(applyArgs(writeConfig(t, exampleConfig))...), cli.ExitOK)
	assert.Equal(t, h.run(showArgs()...), cli.ExitOK)
	assert.Equal(t, h.stdout.String(), "# Generation 1\n"+exampleConfig)
	shown := h.stdout.String()
	assert.Equal(t, h.runWithInput(shown, applyArgs("-")...), cli.ExitOK, h.stderr.String())
	assert.Equal(t, h.run(showArgs("--canonical")...), cli.ExitOK)
	canonical := h.stdout.String()
	assert.Assert(t, strings.HasPrefix(canonical, "# Generation 2\nDeployment = \"test\"\n\n[[Workspace]]"))
	assert.Equal(t, h.runWithInput(canonical, applyArgs("-")...), cli.ExitOK, h.stderr.String())
	assert.Equal(t, h.run("config", "diff", "--store", "http://s:1", writeConfig(t, exampleConfig)), cli.ExitOK)
	assert.Equal(t, h.stdout.String(), "")
	assert.Assert(t, strings.Contains(h.stderr.String(), "does not differ from generation 3"))
}

func TestConfigDiff(t *testing.T) {
	h := newHarness()
	assert.Equal(t, h.run(applyArgs(writeConfig(t, exampleConfig))...), cli.ExitOK)
	changedFile := strings.Replace(exampleConfig, "Rate = 10", "Rate = 2.5", 1) + "[[Zone]]\nName = \"zone-a\"\nInService = false\n"
	assert.Equal(t, h.run("config", "diff", "--store", "http://s:1", writeConfig(t, changedFile)), cli.ExitOK)
	assert.Equal(t, h.stdout.String(), "Workspace aurora\tRate\t10\t2.5\nZone zone-a\tInService\t\tfalse\n")
	assert.Equal(t, h.run("config", "diff", "--json", "--store", "http://s:1", writeConfig(t, changedFile)), cli.ExitOK)
	assert.Assert(t, strings.Contains(h.stdout.String(), `"Generation": 1,`))
}

func TestConfigCheck(t *testing.T) {
	h := newHarness()
	path := writeConfig(t, exampleConfig)
	assert.Equal(t, h.run("config", "check", path), cli.ExitOK)
	assert.Equal(t, h.stdout.String(), path+" is accepted: 1 workspaces, 1 services, 1 routes, 0 zones, 0 targets\n")
	assert.Equal(t, h.run("config", "check", "no-such-file"), cli.ExitFailure)
	assert.Equal(t, h.stderr.String(), "ggw: open no-such-file: no such file or directory; specify a readable file\n")
}
