package keys_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/keys"
)

const (
	one   = "the-first-key-of-aurora"
	two   = "the_second_key_of_aurora"
	three = "the-key-of-boreal"
	short = "fifteen-letters"
)

func table() *keys.Table {
	return keys.New(gage.Config{Workspaces: []gage.Workspace{
		{Name: "aurora", KeyDigests: []string{keys.Digest(one), keys.Digest(two)}},
		{Name: "boreal", KeyDigests: []string{keys.Digest(three), keys.Digest(short), keys.Digest(one + "!")}},
	}})
}

func TestLookup(t *testing.T) {
	table := table()
	tests := []struct {
		name, key, want string
	}{
		{"first key", one, "aurora"},
		{"second key of a workspace", two, "aurora"},
		{"key of another workspace", three, "boreal"},
		{"unknown key", "the-fourth-key-of-all", ""},
		{"no key", "", ""},
		{"digest in place of a key", keys.Digest(one), ""},
		{"key with a space", one + " ", ""},
		{"digest of a text too short for a key", short, ""},
		{"digest of a text that is no key", one + "!", ""},
		{"very long key", strings.Repeat("k", 1<<20), ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			workspace, ok := table.Lookup(tt.key)
			assert.Equal(t, workspace, tt.want)
			assert.Equal(t, ok, tt.want != "")
		})
	}
}

func TestOccurs(t *testing.T) {
	tests := []struct {
		name, text string
		want       bool
	}{
		{"alone", one, true},
		{"in a path", "/search/" + two + "/x", true},
		{"at the end", "client/" + three, true},
		{"quoted", `{"k":"` + one + `"}`, true},
		{"unknown", "/search/the-fourth-key-of-all", false},
		{"part of a longer word", one + "s", false},
		{"nothing", "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, table().ContainsKey(tt.text), tt.want)
		})
	}
}

func TestIsDigest(t *testing.T) {
	digest := keys.Digest("one")
	assert.Assert(t, keys.IsDigest(digest))
	assert.Assert(t, !keys.IsDigest(strings.ToUpper(digest)))
	assert.Assert(t, !keys.IsDigest(digest[:len(digest)-2]))
	assert.Assert(t, !keys.IsDigest(strings.TrimPrefix(digest, "sha256:")))
	assert.Assert(t, !keys.IsDigest("sha256:"+strings.Repeat("z", 64)))
	assert.Assert(t, !keys.IsDigest("sha256:"+strings.Repeat("A", 64)))
}
