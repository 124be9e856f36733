package keys_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/keys"
)

const (
	auroraKey1  = "the-first-key-of-aurora"
	auroraKey2  = "the_second_key_of_aurora"
	borealKey   = "the-key-of-boreal"
	tooShortKey = "fifteen-letters"
)

func newTable() *keys.Table {
	return keys.New(gage.Config{Workspaces: []gage.Workspace{
		{Name: "aurora", KeyDigests: []string{keys.Digest(auroraKey1), keys.Digest(auroraKey2)}},
		{Name: "boreal", KeyDigests: []string{keys.Digest(borealKey), keys.Digest(tooShortKey), keys.Digest(auroraKey1 + "!")}},
	}})
}

func TestLookup(t *testing.T) {
	table := newTable()
	tests := []struct {
		name, key, want string
	}{
		{"first key", auroraKey1, "aurora"},
		{"second key of a workspace", auroraKey2, "aurora"},
		{"key of another workspace", borealKey, "boreal"},
		{"unknown key", "the-fourth-key-of-all", ""},
		{"empty key", "", ""},
		{"digest in place of a key", keys.Digest(auroraKey1), ""},
		{"key with a space", auroraKey1 + " ", ""},
		{"digest of a text too short for a key", tooShortKey, ""},
		{"digest of a text with an invalid character", auroraKey1 + "!", ""},
		{"text too long for a key", strings.Repeat("k", 1<<20), ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			workspace, ok := table.Lookup(tt.key)
			assert.Equal(t, workspace, tt.want)
			assert.Equal(t, ok, tt.want != "")
		})
	}
}

func TestContainsKey(t *testing.T) {
	tests := []struct {
		name, text string
		want       bool
	}{
		{"whole text", auroraKey1, true},
		{"in a path", "/search/" + auroraKey2 + "/x", true},
		{"at the end", "client/" + borealKey, true},
		{"quoted", `{"k":"` + auroraKey1 + `"}`, true},
		{"unknown key", "/search/the-fourth-key-of-all", false},
		{"part of a longer word", auroraKey1 + "s", false},
		{"empty text", "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.Equal(t, newTable().ContainsKey(tt.text), tt.want)
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
