package member

// Limit bounds the contents of one anti-entropy message.
type Limit struct {
	// Entries is the maximum number of digests.
	Entries int
	// Records is the maximum number of records.
	Records int
	// Bytes is the maximum estimated size of all records together. A single
	// record may exceed it.
	Bytes int
}

// Digests returns the digests of all alive and suspect members in the given
// buckets.
func (t *Table) Digests(buckets []uint32) []Digest {
	selected := bucketSet(buckets)
	var digests []Digest
	for _, e := range t.sorted {
		if !e.Gone() && selected[Bucket(e.nameHash)] {
			digests = append(digests, e.Digest)
		}
	}
	return digests
}

func bucketSet(buckets []uint32) [BucketCount]bool {
	var set [BucketCount]bool
	for _, b := range buckets {
		set[b%BucketCount] = true
	}
	return set
}

func digestsByName(digests []Digest) map[uint32]Digest {
	byName := make(map[uint32]Digest, len(digests))
	for _, d := range digests {
		byName[d.NameHash] = d
	}
	return byName
}

// Compare compares this table with a peer's digests of the given buckets. It returns
// the records to send and the digests of the records to request. Records that differ
// are both sent and requested. Records that only this table has are sent, and records
// that only the peer has are requested.
func (t *Table) Compare(buckets []uint32, peerDigests []Digest, limit Limit) ([]Record, []Digest) {
	remaining := digestsByName(peerDigests)
	selected := bucketSet(buckets)
	batch := recordBatch{Limit: limit}
	var wanted []Digest
	for _, e := range t.sorted {
		if !selected[Bucket(e.nameHash)] {
			continue
		}
		peerDigest, ok := remaining[e.nameHash]
		delete(remaining, e.nameHash)
		if peerDigest == e.Digest || e.Gone() && !ok {
			continue
		}
		batch.add(e.recordFor(peerDigest))
		if ok {
			wanted = append(wanted, Digest{NameHash: e.nameHash, Status: e.Digest.Status, Payload: e.Digest.Payload})
		}
	}
	for _, d := range peerDigests {
		if _, unknown := remaining[d.NameHash]; unknown {
			wanted = append(wanted, Digest{NameHash: d.NameHash})
		}
	}
	return batch.Records, wanted[:min(len(wanted), limit.Entries)]
}

// Find returns the records that a peer requests with the given digests. It leaves
// out records whose digest is the same in this table.
func (t *Table) Find(wanted []Digest, limit Limit) []Record {
	requested := digestsByName(wanted)
	batch := recordBatch{Limit: limit}
	for _, e := range t.sorted {
		peerDigest, ok := requested[e.nameHash]
		if ok && peerDigest != e.Digest {
			batch.add(e.recordFor(peerDigest))
		}
	}
	return batch.Records
}

// recordFor returns the record to send to a peer that holds peerDigest. It is
// brief when the peer already has the same payload.
func (e *Entry) recordFor(peerDigest Digest) Record {
	return e.Record(peerDigest.Payload != e.Digest.Payload)
}

// recordBatch collects records up to a limit. Records beyond it are dropped.
type recordBatch struct {
	Limit   Limit
	Records []Record
	bytes   int
}

func (b *recordBatch) add(r Record) {
	size := r.Size()
	isFull := len(b.Records) >= b.Limit.Records || b.bytes+size > b.Limit.Bytes
	if len(b.Records) > 0 && isFull {
		return
	}
	b.bytes += size
	b.Records = append(b.Records, r)
}
