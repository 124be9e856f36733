// Package share assigns each slot of each shard to one process, its holder. The
// shard's record in the store names the holder of each slot and its confirming
// members, which are the processes that confirm the holder. A holder serves a
// slot only while its lease is valid, and another process takes the slot over
// only after every earlier lease has expired (see package fence). Only holders,
// and processes that create a record or take over a slot, call the store.
package share

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/greengagewind/greengagewind/gage"
)

// MaxMembers is the maximum number of confirming members of a slot.
const MaxMembers = 5

// Record is the value of one shard's key in the store.
type Record struct {
	// Slots has gage.MaxSlotsPerShard elements.
	Slots []Slot
}

// Slot is the stored state of one slot.
type Slot struct {
	// Epoch starts at 1 and increases by one with each change of Holder.
	Epoch uint64
	// Version starts at 1 and increases by one with each change of the slot.
	Version uint64
	// Holder is the zero Process when the last holder stopped and there was no
	// other process to hand the slot to.
	Holder gage.Process
	Zone   string
	// Members are the confirming members, at most MaxMembers. A takeover does not
	// change them, since they can renew the leases of earlier holders. Only a
	// holder that has completed its takeover changes them.
	Members []gage.Process
	// Settled is true when no holder of an earlier epoch can have a valid lease.
	Settled bool
}

// Key returns the key of a shard's record in the store.
func Key(shard int) string {
	return fmt.Sprintf("%s%02d", gage.StoreSharePrefix, shard)
}

// shardOfKey returns the shard whose record has the given key, and false if there
// is no such shard.
func shardOfKey(key string) (int, bool) {
	shard, err := strconv.Atoi(strings.TrimPrefix(key, gage.StoreSharePrefix))
	if err != nil || shard < 0 || shard >= gage.ShardCount {
		return 0, false
	}
	return shard, Key(shard) == key
}

// Encode returns the JSON form of a record.
func Encode(r Record) ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode share record: %w", err)
	}
	return value, nil
}

// Decode parses the JSON form of a record. It returns an error unless the record
// has gage.MaxSlotsPerShard slots.
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
