package root_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/greengagewind/greengagewind/gage/state/keys"
	"github.com/greengagewind/greengagewind/ggw/cli"
)

func TestHelp(t *testing.T) {
	t.Setenv("COLUMNS", "80")
	commands := []string{
		"", "config", "config check", "config diff", "config apply", "config show", "key", "key new", "status", "explain",
	}
	for _, command := range commands {
		name := strings.ReplaceAll(strings.TrimSpace("ggw "+command), " ", "-")
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			assert.Equal(t, h.run(append(strings.Fields(command), "--help")...), cli.ExitOK)
			assert.Equal(t, h.stderr.String(), "")
			golden.Assert(t, h.stdout.String(), name+".golden")
			help := h.stdout.String()
			assert.Equal(t, h.run(append([]string{"help"}, strings.Fields(command)...)...), cli.ExitOK)
			assert.Equal(t, h.stdout.String(), help)
		})
	}
}

func TestUsageErrors(t *testing.T) {
	tests := []struct {
		name string
		args []string
		want string
	}{
		{"no command", nil, "ggw: command not specified\nusage: ggw COMMAND\nRun ggw --help for more.\n"},
		{"missing subcommand", []string{"config"}, "ggw: must select a subcommand of 'config'\nusage: ggw config COMMAND\nRun ggw config --help for more.\n"},
		{"unknown command", []string{"bogus"}, "ggw: expected command but got \"bogus\"\nusage: ggw COMMAND\n"},
		{"unknown flag", []string{"key", "new", "--speed"}, "ggw: unknown long flag '--speed'\nusage: ggw key new [<flags>]\n"},
		{"missing flag", []string{"status"}, "ggw: required flag(s) '--node' not provided\nusage: ggw status --node=URL [<flags>]\n"},
		{"missing argument", []string{"config", "check"}, "ggw: required argument 'file' not provided\nusage: ggw config check [<flags>] FILE\n"},
		{"bad number", applyArgs("f", "--base", "x"), "ggw: strconv.ParseInt: parsing \"x\": invalid syntax\nusage: ggw config apply "},
		{"id without a dot", []string{"explain", "--node", "n", "abc"}, "ggw: REQUEST-ID abc must consist of a VM name, a dot and a suffix"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness()
			assert.Equal(t, h.run(tt.args...), cli.ExitUsage)
			assert.Equal(t, h.stdout.String(), "")
			assert.Assert(t, strings.HasPrefix(h.stderr.String(), tt.want), h.stderr.String())
		})
	}
}

func TestKeyNewPrintsAKeyAndItsDigest(t *testing.T) {
	h := newHarness()
	assert.Equal(t, h.run("key", "new"), cli.ExitOK)
	fields := strings.Fields(h.stdout.String())
	assert.Equal(t, len(fields), 4)
	assert.Assert(t, strings.HasPrefix(fields[1], "gage_"))
	assert.Equal(t, fields[3], keys.Digest(fields[1]))
}
