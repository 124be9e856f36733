// Package keys finds the workspace to which a caller's key belongs. Keys are
// stored and compared only as digests, so that neither the operators'
// configuration file nor the duration of a lookup reveals a key.
package keys

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/invar"
)

const (
	// digestPrefix is the part of a digest that names the hash function.
	digestPrefix = "sha256:"
	// maxKeyBytes is the maximum length of a key. It bounds the work of hashing
	// a text that a caller sends as its key.
	maxKeyBytes = 512
)

// MinBytes is the minimum length of a key. It distinguishes keys from the
// ordinary words of a request, which are shorter.
const MinBytes = 16

// keyHash is the SHA-256 hash of a key.
type keyHash [sha256.Size]byte

// Table maps hashes of keys to workspaces. It is immutable and therefore safe
// for concurrent use.
type Table struct {
	// workspaces holds the name of the workspace of each key.
	workspaces map[keyHash]string
}

// New returns the key table of a configuration. Its digests must be well-formed,
// and no digest may belong to two workspaces: otherwise New ends the process.
func New(config gage.Config) *Table {
	workspaces := make(map[keyHash]string)
	for _, w := range config.Workspaces {
		for _, digest := range w.KeyDigests {
			hash, ok := parseDigest(digest)
			invar.Check(ok, "KeyDigestIsWellFormed", "Workspace", w.Name)
			owner, found := workspaces[hash]
			invar.Check(!found || owner == w.Name, "KeyHasOneWorkspace", "Workspace", w.Name, "Other", owner)
			workspaces[hash] = w.Name
		}
	}
	return &Table{workspaces: workspaces}
}

// Lookup returns the name of the workspace to which a plaintext key belongs.
// Only hashes are compared, so that the duration of a lookup reveals nothing
// about other keys.
func (t *Table) Lookup(key string) (workspace string, ok bool) {
	if !IsKey(key) {
		return "", false
	}
	workspace, ok = t.workspaces[sha256.Sum256([]byte(key))]
	return workspace, ok
}

// IsKey reports whether text has the form of a key: 16 to 512 ASCII letters,
// digits, hyphens and underscores. Because of this form, ContainsKey can find
// keys within other text.
func IsKey(text string) bool {
	if len(text) < MinBytes || len(text) > maxKeyBytes {
		return false
	}
	for i := range len(text) {
		if !isKeyByte(text[i]) {
			return false
		}
	}
	return true
}

func isKeyByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	}
	return b == '-' || b == '_'
}

// ContainsKey reports whether text contains a key of the table as a whole word:
// a maximal run of the bytes that keys consist of.
func (t *Table) ContainsKey(text string) bool {
	wordStart := 0
	for i := range len(text) + 1 {
		if i < len(text) && isKeyByte(text[i]) {
			continue
		}
		if i-wordStart >= MinBytes {
			if _, ok := t.Lookup(text[wordStart:i]); ok {
				return true
			}
		}
		wordStart = i + 1
	}
	return false
}

// Digest returns the digest of a key as the operators' configuration file holds
// it: "sha256:" and 64 lower-case hexadecimal digits.
func Digest(key string) string {
	hash := sha256.Sum256([]byte(key))
	return digestPrefix + hex.EncodeToString(hash[:])
}

// IsDigest reports whether text has the form that Digest returns.
func IsDigest(text string) bool {
	_, ok := parseDigest(text)
	return ok
}

func parseDigest(digest string) (keyHash, bool) {
	var hash keyHash
	digits, found := strings.CutPrefix(digest, digestPrefix)
	if !found || len(digits) != hex.EncodedLen(len(hash)) || digits != strings.ToLower(digits) {
		return hash, false
	}
	_, err := hex.Decode(hash[:], []byte(digits))
	return hash, err == nil
}
