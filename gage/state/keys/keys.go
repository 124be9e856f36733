// Package keys finds the workspace that a caller's key belongs to. Keys are
// kept and compared only as digests, so that neither the operators' file nor
// the time that a look-up takes tells a key.
package keys

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/invar"
)

const (
	// digestPrefix names the hash function in a digest.
	digestPrefix = "sha256:"
	// maxKeyBytes bounds what a caller may have hashed.
	maxKeyBytes = 512
)

// MinBytes is the length of the shortest key. It keeps keys apart from the
// ordinary words of a request.
const MinBytes = 16

type sum [sha256.Size]byte

// Table maps digests of keys to workspaces. It is immutable, so that any
// number of goroutines may read it.
type Table struct {
	workspaces map[sum]string
}

// New returns the table of an accepted configuration.
func New(config gage.Config) *Table {
	workspaces := make(map[sum]string)
	for _, w := range config.Workspaces {
		for _, digest := range w.KeyDigests {
			s, ok := parse(digest)
			invar.Check(ok, "KeyDigestIsWellFormed", "Workspace", w.Name)
			owner, taken := workspaces[s]
			invar.Check(!taken || owner == w.Name, "KeyHasOneWorkspace", "Workspace", w.Name, "Other", owner)
			workspaces[s] = w.Name
		}
	}
	return &Table{workspaces: workspaces}
}

// Lookup returns the workspace of a key in clear. The key is hashed first, so
// that the comparison reveals nothing about keys that callers do not have.
func (t *Table) Lookup(key string) (workspace string, ok bool) {
	if !IsKey(key) {
		return "", false
	}
	workspace, ok = t.workspaces[sha256.Sum256([]byte(key))]
	return workspace, ok
}

// IsKey reports whether text has the form of a key: 16 to 512 letters, digits,
// hyphens and underscores. The form makes keys in other places findable.
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

// ContainsKey reports whether a key in force stands in text as a word of its own.
func (t *Table) ContainsKey(text string) bool {
	start := 0
	for i := range len(text) + 1 {
		if i < len(text) && isKeyByte(text[i]) {
			continue
		}
		if i-start >= MinBytes {
			if _, ok := t.Lookup(text[start:i]); ok {
				return true
			}
		}
		start = i + 1
	}
	return false
}

// Digest returns what stands for a key in the operators' file.
func Digest(key string) string {
	s := sha256.Sum256([]byte(key))
	return digestPrefix + hex.EncodeToString(s[:])
}

// IsDigest reports whether text has the form that Digest returns.
func IsDigest(text string) bool {
	_, ok := parse(text)
	return ok
}

func parse(digest string) (sum, bool) {
	var s sum
	digits, found := strings.CutPrefix(digest, digestPrefix)
	if !found || len(digits) != hex.EncodedLen(len(s)) || digits != strings.ToLower(digits) {
		return s, false
	}
	_, err := hex.Decode(s[:], []byte(digits))
	return s, err == nil
}
