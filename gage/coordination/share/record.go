// Package share decides which process holds each slot of each shard. A slot's
// record in the store names its holder and the holder's members; a holder
// serves only while it is in standing, and another process takes a slot over
// only after every earlier standing has lapsed (see package fence). Only
// holders and takers call the store.
package share

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/greengagewind/greengagewind/gage"
)

// MaxMembers is the most members that a slot has.
const MaxMembers = 5

// Record is the value of one shard's key in the store.
type Record struct {
	// Slots holds gage.MaxSlotsPerShard slots.
	Slots []Slot
}

// Slot is one slot as the store holds it.
type Slot struct {
	// Epoch grows by one with each change of Holder, from 1.
	Epoch uint64
	// Version grows by one with each change of the slot, from 1.
	Version uint64
	// Holder is the zero Process when the last holder left and named none.
	Holder gage.Process
	Zone   string
	// Members change only by the word of a holder that is in standing, so
	// that they are the ones whom every earlier holder must ask. There are at
	// most MaxMembers.
	Members []gage.Process
	// Settled tells that no holder of an earlier epoch can be in standing.
	Settled bool
}

// Key returns the store's key of a shard.
func Key(shard int) string {
	return fmt.Sprintf("%s%02d", gage.StoreSharePrefix, shard)
}

// shardOfKey is the inverse of Key.
func shardOfKey(key string) (int, bool) {
	shard, err := strconv.Atoi(strings.TrimPrefix(key, gage.StoreSharePrefix))
	if err != nil || shard < 0 || shard >= gage.ShardCount {
		return 0, false
	}
	return shard, Key(shard) == key
}

// Encode returns the stored form of a record.
func Encode(r Record) ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode share record: %w", err)
	}
	return value, nil
}

// Decode reads the stored form of a record.
func Decode(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("decode share record: %w", err)
	}
	if len(r.Slots) != gage.MaxSlotsPerShard {
		return Record{}, fmt.Errorf("decode share record: %d slots, want %d", len(r.Slots), gage.MaxSlotsPerShard)
	}
	return r, nil
}

// withSlot returns a copy of r with one slot replaced.
func (r Record) withSlot(slot int, s Slot) Record {
	slots := make([]Slot, len(r.Slots))
	copy(slots, r.Slots)
	slots[slot] = s
	return Record{Slots: slots}
}
