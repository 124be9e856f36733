package root_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	stamps "github.com/greengagewind/greengagewind/gage/coordination/apply"
	"github.com/greengagewind/greengagewind/ggw/cli"
)

func apply(path string, more ...string) []string {
	return append([]string{"config", "apply", "--store", "http://s:1", path}, more...)
}

func show(more ...string) []string {
	return append([]string{"config", "show", "--store", "http://s:1"}, more...)
}

func TestConfigApply(t *testing.T) {
	changed := strings.Replace(file, "Rate = 10", "Rate = 20", 1)
	tests := []struct {
		name string
		// before is in force as generation 1 unless it is "".
		before  string
		prepare func(*fakeStore)
		text    string
		more    []string
		code    int
		out     string
		err     string
		// inForce must be part of what the store holds afterwards.
		inForce string
	}{
		{name: "first file", text: file, out: "generation 1 is in force\n", inForce: "Rate = 10"},
		{name: "base in the file", before: file, text: "# Generation 1\n" + changed, out: "generation 2 is in force\n", inForce: "Rate = 20"},
		{name: "base as a flag", before: file, text: changed, more: []string{"--base", "1"}, out: "generation 2 is in force\n", inForce: "Rate = 20"},
		{
			name: "no base and a file in force", before: file, text: changed, code: cli.ExitConflict, inForce: "Rate = 10",
			err: "test.toml is based on no generation, but generation 1 is in force and nothing was changed; run ggw config diff, take over what the other operator changed, and apply with --base 1\n",
		},
		{
			name: "another operator came first", before: file, text: changed, more: []string{"--base", "1"},
			prepare: func(f *fakeStore) {
				f.race = stamps.PrependStamps([]stamps.Stamp{{ID: "other", Base: 1}}, []byte(strings.Replace(file, "Rate = 10", "Rate = 30", 1)))
			},
			code: cli.ExitConflict, inForce: "Rate = 30", err: "is based on generation 1, but generation 2 is in force",
		},
		{
			name: "answer lost after the write", before: file, text: changed, more: []string{"--base", "1"},
			prepare: func(f *fakeStore) { f.loseAnswers = 1 },
			out:     "generation 2 is in force\n", inForce: "Rate = 20",
		},
		{
			name: "store is down", before: file, text: changed, more: []string{"--base", "1", "--timeout", "50ms"},
			prepare: func(f *fakeStore) { f.down = true },
			code:    cli.ExitFailure, inForce: "Rate = 10",
			err: "is in force (store is down); run the same command again with --id ",
		},
		{
			name: "bad value", before: file, text: strings.Replace(file, "Burst = 5", "Burst = 1", 1), more: []string{"--base", "1"},
			code: cli.ExitFailure, inForce: "Burst = 5", err: "test.toml:5: Workspace[0].Burst = 1: must be a number from 2 to 1e9\n",
		},
		{
			name: "too large for the store", before: file, text: file + strings.Repeat("#", 999_000), more: []string{"--base", "1"},
			code: cli.ExitFailure, inForce: "Burst = 5", err: "at most 995904 are allowed\n",
		},
		{name: "timeout of 0", text: file, more: []string{"--timeout", "0s"}, code: cli.ExitUsage, err: "--timeout 0s must be above 0\nusage: ggw config apply "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench()
			if tt.before != "" {
				assert.Equal(t, b.run(apply(save(t, tt.before))...), cli.ExitOK)
			}
			if tt.prepare != nil {
				tt.prepare(b.store)
			}
			code := b.run(apply(save(t, tt.text), tt.more...)...)
			assert.Equal(t, code, tt.code, b.err.String())
			assert.Equal(t, b.out.String(), tt.out)
			assert.Assert(t, strings.Contains(b.err.String(), tt.err), b.err.String())
			assert.Assert(t, strings.Contains(string(b.store.entry.Value), tt.inForce))
		})
	}
}

// TestConfigApplyAgain repeats an apply whose answer was lost, with the id and
// base that its error named.
func TestConfigApplyAgain(t *testing.T) {
	b := newBench()
	path := save(t, file)
	b.store.loseAnswers, b.store.downAfterLoss = 1, true
	assert.Equal(t, b.run(apply(path, "--timeout", "50ms")...), cli.ExitFailure)
	_, again, found := strings.Cut(strings.TrimSpace(b.err.String()), "run the same command again with ")
	assert.Assert(t, found, b.err.String())
	b.store.down = false
	assert.Equal(t, b.run(apply(path, strings.Fields(again)...)...), cli.ExitOK, b.err.String())
	assert.Equal(t, b.out.String(), "generation 1 is in force\n")
	assert.Equal(t, b.store.entry.Revision, int64(1))
}

func TestConfigShowCanBeApplied(t *testing.T) {
	b := newBench()
	assert.Equal(t, b.run(show()...), cli.ExitFailure)
	assert.Assert(t, strings.Contains(b.err.String(), "no file is in force yet"))
	assert.Equal(t, b.run(apply(save(t, file))...), cli.ExitOK)
	assert.Equal(t, b.run(show()...), cli.ExitOK)
	assert.Equal(t, b.out.String(), "# Generation 1\n"+file)
	shown := b.out.String()
	assert.Equal(t, b.runWith(shown, apply("-")...), cli.ExitOK, b.err.String())
	assert.Equal(t, b.run(show("--canonical")...), cli.ExitOK)
	canonical := b.out.String()
	assert.Assert(t, strings.HasPrefix(canonical, "# Generation 2\nDeployment = \"test\"\n\n[[Workspace]]"))
	assert.Equal(t, b.runWith(canonical, apply("-")...), cli.ExitOK, b.err.String())
	assert.Equal(t, b.run("config", "diff", "--store", "http://s:1", save(t, file)), cli.ExitOK)
	assert.Equal(t, b.out.String(), "")
	assert.Assert(t, strings.Contains(b.err.String(), "means the same as generation 3"))
}

func TestConfigDiff(t *testing.T) {
	b := newBench()
	assert.Equal(t, b.run(apply(save(t, file))...), cli.ExitOK)
	changed := strings.Replace(file, "Rate = 10", "Rate = 2.5", 1) + "[[Zone]]\nName = \"zone-a\"\nInService = false\n"
	assert.Equal(t, b.run("config", "diff", "--store", "http://s:1", save(t, changed)), cli.ExitOK)
	assert.Equal(t, b.out.String(), "Workspace aurora\tRate\t10\t2.5\nZone zone-a\tInService\t\tfalse\n")
	assert.Equal(t, b.run("config", "diff", "--json", "--store", "http://s:1", save(t, changed)), cli.ExitOK)
	assert.Assert(t, strings.Contains(b.out.String(), `"Generation": 1,`))
}

func TestConfigCheck(t *testing.T) {
	b := newBench()
	path := save(t, file)
	assert.Equal(t, b.run("config", "check", path), cli.ExitOK)
	assert.Equal(t, b.out.String(), path+" is accepted: 1 workspaces, 1 services, 1 routes, 0 zones, 0 targets\n")
	assert.Equal(t, b.run("config", "check", "no-such-file"), cli.ExitFailure)
	assert.Equal(t, b.err.String(), "ggw: open no-such-file: no such file or directory; name a file that can be read\n")
}
