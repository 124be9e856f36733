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
	changed := strings.Replace(exampleConfig, "Rate = 10", "Rate = 20", 1)
	tests := []struct {
		name string
		// initial, unless "", is applied first as generation 1.
		initial   string
		setUp     func(*fakeStore)
		text      string
		extraArgs []string
		wantCode  int
		wantOut   string
		wantErr   string
		// wantInForce must be contained in the stored configuration afterwards.
		wantInForce string
	}{
		{name: "first file", text: exampleConfig, wantOut: "generation 1 is in force\n", wantInForce: "Rate = 10"},
		{name: "base in the file", initial: exampleConfig, text: "# Generation 1\n" + changed, wantOut: "generation 2 is in force\n", wantInForce: "Rate = 20"},
		{name: "base as a flag", initial: exampleConfig, text: changed, extraArgs: []string{"--base", "1"}, wantOut: "generation 2 is in force\n", wantInForce: "Rate = 20"},
		{
			name: "no base and a file in force", initial: exampleConfig, text: changed, wantCode: cli.ExitConflict, wantInForce: "Rate = 10",
			wantErr: "test.toml is based on no generation, but generation 1 is in force and nothing was changed; run ggw config diff, take over what the other operator changed, and apply with --base 1\n",
		},
		{
			name: "another file was applied first", initial: exampleConfig, text: changed, extraArgs: []string{"--base", "1"},
			setUp: func(f *fakeStore) {
				f.concurrentWrite = coordapply.PrependStamps([]coordapply.Stamp{{ID: "other", Base: 1}}, []byte(strings.Replace(exampleConfig, "Rate = 10", "Rate = 30", 1)))
			},
			wantCode: cli.ExitConflict, wantInForce: "Rate = 30", wantErr: "is based on generation 1, but generation 2 is in force",
		},
		{
			name: "reply lost after the write", initial: exampleConfig, text: changed, extraArgs: []string{"--base", "1"},
			setUp:   func(f *fakeStore) { f.loseReplies = 1 },
			wantOut: "generation 2 is in force\n", wantInForce: "Rate = 20",
		},
		{
			name: "store is down", initial: exampleConfig, text: changed, extraArgs: []string{"--base", "1", "--timeout", "50ms"},
			setUp:    func(f *fakeStore) { f.down = true },
			wantCode: cli.ExitFailure, wantInForce: "Rate = 10",
			wantErr: "is in force (store is down); run the same command again with --id ",
		},
		{
			name: "invalid value", initial: exampleConfig, text: strings.Replace(exampleConfig, "Burst = 5", "Burst = 1", 1), extraArgs: []string{"--base", "1"},
			wantCode: cli.ExitFailure, wantInForce: "Burst = 5", wantErr: "test.toml:5: Workspace[0].Burst = 1: must be a number from 2 to 1e9\n",
		},
		{
			name: "too large for the store", initial: exampleConfig, text: exampleConfig + strings.Repeat("#", 999_000), extraArgs: []string{"--base", "1"},
			wantCode: cli.ExitFailure, wantInForce: "Burst = 5", wantErr: "at most 995904 are allowed\n",
		},
		{name: "timeout of 0", text: exampleConfig, extraArgs: []string{"--timeout", "0s"}, wantCode: cli.ExitUsage, wantErr: "--timeout 0s must be positive\nusage: ggw config apply "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness()
			if tt.initial != "" {
				assert.Equal(t, h.run(applyArgs(writeConfig(t, tt.initial))...), cli.ExitOK)
			}
			if tt.setUp != nil {
				tt.setUp(h.store)
			}
			code := h.run(applyArgs(writeConfig(t, tt.text), tt.extraArgs...)...)
			assert.Equal(t, code, tt.wantCode, h.err.String())
			assert.Equal(t, h.out.String(), tt.wantOut)
			assert.Assert(t, strings.Contains(h.err.String(), tt.wantErr), h.err.String())
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
	h.store.loseReplies, h.store.downAfterLostReply = 1, true
	assert.Equal(t, h.run(applyArgs(path, "--timeout", "50ms")...), cli.ExitFailure)
	_, retryFlags, found := strings.Cut(strings.TrimSpace(h.err.String()), "run the same command again with ")
	assert.Assert(t, found, h.err.String())
	h.store.down = false
	assert.Equal(t, h.run(applyArgs(path, strings.Fields(retryFlags)...)...), cli.ExitOK, h.err.String())
	assert.Equal(t, h.out.String(), "generation 1 is in force\n")
	assert.Equal(t, h.store.entry.Revision, int64(1))
}

func TestConfigShowOutputCanBeApplied(t *testing.T) {
	h := newHarness()
	assert.Equal(t, h.run(showArgs()...), cli.ExitFailure)
	assert.Assert(t, strings.Contains(h.err.String(), "no configuration is in force yet"))
	assert.Equal(t, h.run(applyArgs(writeConfig(t, exampleConfig))...), cli.ExitOK)
	assert.Equal(t, h.run(showArgs()...), cli.ExitOK)
	assert.Equal(t, h.out.String(), "# Generation 1\n"+exampleConfig)
	shown := h.out.String()
	assert.Equal(t, h.runWithInput(shown, applyArgs("-")...), cli.ExitOK, h.err.String())
	assert.Equal(t, h.run(showArgs("--canonical")...), cli.ExitOK)
	canonical := h.out.String()
	assert.Assert(t, strings.HasPrefix(canonical, "# Generation 2\nDeployment = \"test\"\n\n[[Workspace]]"))
	assert.Equal(t, h.runWithInput(canonical, applyArgs("-")...), cli.ExitOK, h.err.String())
	assert.Equal(t, h.run("config", "diff", "--store", "http://s:1", writeConfig(t, exampleConfig)), cli.ExitOK)
	assert.Equal(t, h.out.String(), "")
	assert.Assert(t, strings.Contains(h.err.String(), "does not differ from generation 3"))
}

func TestConfigDiff(t *testing.T) {
	h := newHarness()
	assert.Equal(t, h.run(applyArgs(writeConfig(t, exampleConfig))...), cli.ExitOK)
	changed := strings.Replace(exampleConfig, "Rate = 10", "Rate = 2.5", 1) + "[[Zone]]\nName = \"zone-a\"\nInService = false\n"
	assert.Equal(t, h.run("config", "diff", "--store", "http://s:1", writeConfig(t, changed)), cli.ExitOK)
	assert.Equal(t, h.out.String(), "Workspace aurora\tRate\t10\t2.5\nZone zone-a\tInService\t\tfalse\n")
	assert.Equal(t, h.run("config", "diff", "--json", "--store", "http://s:1", writeConfig(t, changed)), cli.ExitOK)
	assert.Assert(t, strings.Contains(h.out.String(), `"Generation": 1,`))
}

func TestConfigCheck(t *testing.T) {
	h := newHarness()
	path := writeConfig(t, exampleConfig)
	assert.Equal(t, h.run("config", "check", path), cli.ExitOK)
	assert.Equal(t, h.out.String(), path+" is accepted: 1 workspaces, 1 services, 1 routes, 0 zones, 0 targets\n")
	assert.Equal(t, h.run("config", "check", "no-such-file"), cli.ExitFailure)
	assert.Equal(t, h.err.String(), "ggw: open no-such-file: no such file or directory; specify a readable file\n")
}
