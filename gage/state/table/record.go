// Package table holds the claims on idempotency keys in a bounded table.
package table

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// Key is the truncated digest of a workspace, a route and an idempotency key.
type Key [16]byte

// KeyOf returns the key of a call. Each part is hashed with its length, so that
// calls which differ in the boundaries of the parts have different keys.
func KeyOf(c gage.Call) Key {
	digest := sha256.New()
	for _, part := range []string{c.Workspace, c.Route, c.IdempotencyKey} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		digest.Write(size[:])
		digest.Write([]byte(part))
	}
	var key Key
	copy(key[:], digest.Sum(nil))
	return key
}

// Phase is the known state of the call that holds a claim.
type Phase string

// The phases of a call.
const (
	// PhaseRunning means that no outcome is known: the call may be running, or
	// the node that received it was lost.
	PhaseRunning Phase = "Running"
	// PhaseRan means that the call ran and is complete.
	PhaseRan Phase = "Ran"
	// PhaseUnknown means that the call ended and may or may not have run.
	PhaseUnknown Phase = "Unknown"
)

// Record is the claim of one call on a key. The home of a key is the process
// that accepts the claims on it.
type Record struct {
	Key Key
	// Request is the ID of the call. Only the node that received the call knows
	// whether the call is running.
	Request string
	// Epoch is the epoch of the home that accepted the claim. Number is the number
	// of the claim among those that this home has accepted. Of two records of a key,
	// the one with the greater (Epoch, Number) is newer. The call of the older one
	// did not run.
	Epoch  uint64
	Number uint64
	// ClaimedAt is when the home accepted the claim.
	ClaimedAt time.Time
	Phase     Phase
}

// Newer reports whether r has a greater (Epoch, Number) than other.
func (r Record) Newer(other Record) bool {
	if r.Epoch != other.Epoch {
		return r.Epoch > other.Epoch
	}
	return r.Number > other.Number
}
