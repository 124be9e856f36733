package member

// Limit bounds one message of a comparison.
type Limit struct {
	// Entries bounds the digests.
	Entries int
	// Records bounds the number of records.
	Records int
	// Bytes bounds the rough size of the records; one is always allowed.
	Bytes int
}

// Digests returns the digests of all live records in some buckets.
func (t *Table) Digests(buckets []uint32) []Digest {
	in := bucketSet(buckets)
	var out []Digest
	for _, e := range t.sorted {
		if !e.Gone() && in[Bucket(e.name)] {
			out = append(out, e.Digest)
		}
	}
	return out
}

func bucketSet(buckets []uint32) [BucketCount]bool {
	var in [BucketCount]bool
	for _, b := range buckets {
		in[b%BucketCount] = true
	}
	return in
}

func byName(digests []Digest) map[uint32]Digest {
	out := make(map[uint32]Digest, len(digests))
	for _, d := range digests {
		out[d.NameHash] = d
	}
	return out
}

// Compare sets another node's digests of some buckets against this table. It
// returns records that the other lacks or holds differently, and digests of
// those that this node lacks or holds differently.
func (t *Table) Compare(buckets []uint32, theirs []Digest, limit Limit) ([]Record, []Digest) {
	listed := byName(theirs)
	in := bucketSet(buckets)
	records := filler{Limit: limit}
	var wanted []Digest
	for _, e := range t.sorted {
		if !in[Bucket(e.name)] {
			continue
		}
		their, ok := listed[e.name]
		delete(listed, e.name)
		if their == e.Digest || e.Gone() && !ok {
			continue
		}
		records.add(e.answer(their))
		if ok {
			wanted = append(wanted, Digest{NameHash: e.name, Status: e.Digest.Status, Payload: e.Digest.Payload})
		}
	}
	for _, d := range theirs {
		if _, unknown := listed[d.NameHash]; unknown {
			wanted = append(wanted, Digest{NameHash: d.NameHash})
		}
	}
	return records.Records, wanted[:min(len(wanted), limit.Entries)]
}

// Find returns the records whose name hashes are asked for and which differ
// from the digests given.
func (t *Table) Find(wanted []Digest, limit Limit) []Record {
	asked := byName(wanted)
	records := filler{Limit: limit}
	for _, e := range t.sorted {
		their, ok := asked[e.name]
		if ok && their != e.Digest {
			records.add(e.answer(their))
		}
	}
	return records.Records
}

// answer returns the record for a node whose digest is given, brief when the
// payload is the same there.
func (e *Entry) answer(their Digest) Record {
	return e.Record(their.Payload != e.Digest.Payload)
}

// filler collects records up to a limit.
type filler struct {
	Limit   Limit
	Records []Record
	bytes   int
}

func (f *filler) add(r Record) {
	size := r.Size()
	full := len(f.Records) >= f.Limit.Records || f.bytes+size > f.Limit.Bytes
	if len(f.Records) > 0 && full {
		return
	}
	f.bytes += size
	f.Records = append(f.Records, r)
}
