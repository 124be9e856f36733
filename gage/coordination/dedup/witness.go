package dedup

import "time"

// Record records a claim as a witness. It returns StatusStale if the sender is no
// longer the home, or if another call has a newer claim on the key.
func (k *Keeper) Record(now time.Time, r RecordRequest) RecordReply {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r.Slot == homeSlot {
		return RecordReply{Status: StatusNotHolder}
	}
	s, ok := k.currentSlot(now, r.Shard, r.Slot)
	if !ok {
		return RecordReply{Status: StatusNotHolder}
	}
	if !s.observeEpoch(homeSlot, r.HomeEpoch) {
		return RecordReply{Status: StatusStale}
	}
	s.table.Expire(now)
	existing, known := s.table.Find(r.Record.Key)
	if known && existing.Request != r.Record.Request && existing.Newer(r.Record) {
		return RecordReply{Status: StatusStale}
	}
	if !s.table.Put(r.Record) {
		return RecordReply{Status: StatusFull}
	}
	return RecordReply{Status: StatusOK, Epoch: s.epoch}
}

// Page returns one page of a slot's table to a new holder of another slot of the
// shard. Before it returns the first page, it raises the known epoch of that other
// slot. From then on this slot refuses messages of the other slot's earlier
// holders, so the pages contain every claim that those holders can still affect.
func (k *Keeper) Page(now time.Time, r PageRequest) PageReply {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.currentSlot(now, r.Shard, r.Slot)
	if !ok {
		return PageReply{Status: StatusNotHolder}
	}
	if !s.observeEpoch(r.RequesterSlot, r.RequesterEpoch) {
		return PageReply{Status: StatusStale}
	}
	s.table.Expire(now)
	records, next, isLast := s.table.Page(r.After, recordsPerPage)
	return PageReply{
		Status: StatusOK, Epoch: s.epoch, CoveredSince: s.coveredSince, Records: records, Next: next, IsLast: isLast,
	}
}
