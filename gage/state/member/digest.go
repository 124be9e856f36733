package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagewind/greengagewind/gage"
)

// BucketCount is the number of buckets of a table. A power of two.
const BucketCount = 64

// Digest is the digest of one record that is alive or suspect. Records of
// nodes that are gone have none, so that they can be forgotten.
type Digest struct {
	// NameHash is the hash of the VM's name.
	NameHash uint32
	// Status is the hash of the process, its incarnation and its phase.
	Status uint32
	// Payload is the hash of the process and its version.
	Payload uint32
}

// NameHash returns the hash of a VM's name that digests carry.
func NameHash(vm string) uint32 { return uint32(xxhash.Sum64String(vm)) }

// Bucket returns the bucket of a name hash.
func Bucket(name uint32) uint32 { return name & (BucketCount - 1) }

func digestOf(name uint32, m gage.Member) Digest {
	return Digest{
		NameHash: name,
		Status:   hashOf(name, uint64(m.StartedAt), m.Incarnation, uint64(PhaseRank(m.Phase))),
		Payload:  hashOf(name, uint64(m.StartedAt), m.Version),
	}
}

func hashOf(name uint32, parts ...uint64) uint32 {
	var buffer [32]byte
	out := binary.LittleEndian.AppendUint32(buffer[:0], name)
	for _, part := range parts {
		out = binary.LittleEndian.AppendUint64(out, part)
	}
	return uint32(xxhash.Sum64(out))
}

// sum folds a digest into one number; a bucket's hash is the exclusive or of
// the sums of its records, so that one change costs one step.
func (d Digest) sum() uint64 {
	var buffer [12]byte
	out := binary.LittleEndian.AppendUint32(buffer[:0], d.NameHash)
	out = binary.LittleEndian.AppendUint32(out, d.Status)
	out = binary.LittleEndian.AppendUint32(out, d.Payload)
	return xxhash.Sum64(out)
}
