package fence

import "github.com/greengagewind/greengagewind/gage"

// Promises is what a member remembers: the newest version of each slot that
// it was told of. It confirms no older one again while its process lives.
type Promises struct {
	known [gage.ShardCount][gage.MaxSlotsPerShard]uint64
}

// Tell notes a version.
func (p *Promises) Tell(shard, slot int, version uint64) {
	if !valid(shard, slot) {
		return
	}
	p.known[shard][slot] = max(p.known[shard][slot], version)
}

// Known returns the newest version that the member was told of.
func (p *Promises) Known(shard, slot int) uint64 {
	if !valid(shard, slot) {
		return 0
	}
	return p.known[shard][slot]
}

func valid(shard, slot int) bool {
	return shard >= 0 && shard < gage.ShardCount && slot >= 0 && slot < gage.MaxSlotsPerShard
}
