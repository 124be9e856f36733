// Package table holds the claims on idempotency keys in a bounded table.
package table

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// Key is the digest of a workspace, a route and an idempotency key.
type Key [16]byte

// KeyOf returns the key of a call.
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

// Phase tells what is known of the call that holds a claim.
type Phase string

// The phases.
const (
	// PhaseRunning means that the call may be running, or that its entry node
	// was lost.
	PhaseRunning Phase = "Running"
	PhaseRan     Phase = "Ran"
	PhaseUnknown Phase = "Unknown"
)

// Record is the claim of one call on a key.
type Record struct {
	Key Key
	// Request names the call. Only its entry node knows whether it runs.
	Request string
	// Epoch is that of the home which took the claim, and Number its count of
	// claims. Of two records of a key, the one with the greater pair is newer,
	// and the call of the older one did not run.
	Epoch  uint64
	Number uint64
	// ClaimedAt is when the home took the claim.
	ClaimedAt    time.Time
	Phase Phase
}

// Newer reports whether r was made after other.
func (r Record) Newer(other Record) bool {
	if r.Epoch != other.Epoch {
		return r.Epoch > other.Epoch
	}
	return r.Number > other.Number
}
