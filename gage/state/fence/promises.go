package fence

import "github.com/greengagewind/greengagewind/gage"

// Promises holds the newest version of each slot's record of which a member was
// notified. While its process lives, the member never confirms the holder of an
// older version.
type Promises struct {
	// versions is indexed by shard and slot.
	versions [gage.ShardCount][gage.MaxSlotsPerShard]uint64
}

// Raise records a version of which the member was notified. It ignores an
// invalid shard or slot.
func (p *Promises) Raise(shard, slot int, version uint64) {
	if !isValid(shard, slot) {
		return
	}
	p.versions[shard][slot] = max(p.versions[shard][slot], version)
}

// Newest returns the newest version of which the member was notified, or 0.
func (p *Promises) Newest(shard, slot int) uint64 {
	if !isValid(shard, slot) {
		return 0
	}
	return p.versions[shard][slot]
}

func isValid(shard, slot int) bool {
	return shard >= 0 && shard < gage.ShardCount && slot >= 0 && slot < gage.MaxSlotsPerShard
}
