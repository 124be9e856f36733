package member

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagewind/greengagewind/gage"
)

// BucketCount is the number of buckets into which members are divided for
// anti-entropy. It is a power of two.
const BucketCount = 64

// Digest summarizes the record of a member that is alive or suspect. Members
// that are dead or have left have no digest, so that anti-entropy does not
// bring them back to nodes that have removed them.
type Digest struct {
	// NameHash is the hash of the VM's name.
	NameHash uint32
	// Status is the hash of the VM's name and the process's start time,
	// incarnation and phase.
	Status uint32
	// Payload is the hash of the VM's name and the process's start time and
	// version.
	Payload uint32
}

// NameHash returns the hash that identifies a VM in digests.
func NameHash(vm string) uint32 { return uint32(xxhash.Sum64String(vm)) }

// Bucket returns the number of the bucket that holds the VM with the given
// name hash. It is below BucketCount.
func Bucket(nameHash uint32) uint32 { return nameHash & (BucketCount - 1) }

func digestOf(nameHash uint32, m gage.Member) Digest {
	return Digest{
		NameHash: nameHash,
		Status:   hashOf(nameHash, uint64(m.StartedAt), m.Incarnation, uint64(PhaseRank(m.Phase))),
		Payload:  hashOf(nameHash, uint64(m.StartedAt), m.Version),
	}
}

func hashOf(nameHash uint32, parts ...uint64) uint32 {
	var buffer [32]byte
	encoded := binary.LittleEndian.AppendUint32(buffer[:0], nameHash)
	for _, part := range parts {
		encoded = binary.LittleEndian.AppendUint64(encoded, part)
	}
	return uint32(xxhash.Sum64(encoded))
}

// hash returns the hash of all fields. The hash of a bucket is the exclusive
// or of the hashes of its digests, so that a changed record updates the bucket
// in constant time.
func (d Digest) hash() uint64 {
	var buffer [12]byte
	encoded := binary.LittleEndian.AppendUint32(buffer[:0], d.NameHash)
	encoded = binary.LittleEndian.AppendUint32(encoded, d.Status)
	encoded = binary.LittleEndian.AppendUint32(encoded, d.Payload)
	return xxhash.Sum64(encoded)
}
