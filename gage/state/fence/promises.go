package fence

import "github.com/greengagewind/greengagewind/gage"

// Promises holds, for each slot, the newest version of the record of which a
// member was notified. As long as the member's process runs, it never confirms the
// holder of an older version.
type Promises struct {
	// versions is indexed by shard and slot.
	versions [gage.ShardCount][gage.MaxSlotsPerShard]uint64
}

// Raise records that the member was notified of a version. It ignores a version
// older than the recorded one, and an invalid shard or slot.
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
