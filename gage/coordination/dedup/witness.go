package dedup

import "time"

// Record answers the home of a shard at one of its witnesses.
func (k *Keeper) Record(now time.Time, r RecordRequest) RecordReply {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r.Slot == homeSlot {
		return RecordReply{Status: StatusNotHolder}
	}
	s, ok := k.seat(now, r.Shard, r.Slot)
	if !ok {
		return RecordReply{Status: StatusNotHolder}
	}
	if !s.hear(homeSlot, r.HomeEpoch) {
		return RecordReply{Status: StatusStale}
	}
	s.table.Expire(now)
	known, found := s.table.Find(r.Record.Key)
	if found && known.Request != r.Record.Request && known.Newer(r.Record) {
		return RecordReply{Status: StatusStale}
	}
	if !s.table.Put(r.Record) {
		return RecordReply{Status: StatusFull}
	}
	return RecordReply{Status: StatusOK, Epoch: s.epoch}
}

// Page answers a process that came into another slot of the shard and takes
// over the table of this one. From the first page on, nothing that the
// process's forerunner acknowledged or sent counts here any more; so all that
// counted is in the pages.
func (k *Keeper) Page(now time.Time, r PageRequest) PageReply {
	k.mu.Lock()
	defer k.mu.Unlock()
	s, ok := k.seat(now, r.Shard, r.Slot)
	if !ok {
		return PageReply{Status: StatusNotHolder}
	}
	if !s.hear(r.RequesterSlot, r.RequesterEpoch) {
		return PageReply{Status: StatusStale}
	}
	s.table.Expire(now)
	records, next, done := s.table.Page(r.After, pageRecords)
	return PageReply{
		Status: StatusOK, Epoch: s.epoch, CoveredSince: s.since, Records: records, Next: next, IsLast: done,
	}
}
