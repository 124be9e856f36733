package run

import (
	"encoding/base32"
	"encoding/binary"
	"math/rand/v2"
	"strings"
)

// idBytes is the length of the random part of a request ID before encoding.
const idBytes = 10

var idEncoding = base32.HexEncoding.WithPadding(base32.NoPadding)

// newIDGenerator returns a function that generates request IDs of the form
// VM.RANDOM.
func newIDGenerator(vm string) func() string {
	return func() string {
		var b [idBytes]byte
		binary.BigEndian.PutUint64(b[:8], rand.Uint64())
		binary.BigEndian.PutUint16(b[8:], uint16(rand.Uint32()))
		return vm + "." + strings.ToLower(idEncoding.EncodeToString(b[:]))
	}
}
