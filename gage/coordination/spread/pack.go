package spread

import (
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/delta"
)

// maxPlainBytes is the largest document that travels as it is.
const maxPlainBytes = 2 << 10

// packer shortens documents, one at a time so that a burst of pulls takes
// one core at most, and remembers the last result, which the next neighbors
// are likely to ask for too.
type packer struct {
	mu   sync.Mutex
	last PullReply
}

// pack prepares d for a node that holds base; an empty base means none.
func (p *packer) pack(d, base gage.Document) (PullReply, error) {
	packed := PullReply{Key: d.Key, Revision: d.Revision, Checksum: xxhash.Sum64(d.Value)}
	if len(d.Value) <= maxPlainBytes {
		packed.Plain = true
		packed.Body = d.Value
		return packed, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last.Key == d.Key && p.last.Revision == d.Revision && p.last.BaseRevision == base.Revision {
		return p.last, nil
	}
	body, err := delta.Encode(base.Value, d.Value)
	if err != nil {
		return PullReply{}, err
	}
	packed.BaseRevision = base.Revision
	packed.Body = body
	p.last = packed
	return packed, nil
}

// unpack restores a document; base is the revision that packed names.
func unpack(packed PullReply, base gage.Document) (gage.Document, error) {
	value := packed.Body
	if !packed.Plain {
		var err error
		value, err = delta.Decode(base.Value, packed.Body, gage.MaxValueBytes)
		if err != nil {
			return gage.Document{}, err
		}
	}
	if xxhash.Sum64(value) != packed.Checksum {
		return gage.Document{}, fmt.Errorf("document %s at revision %d: the hash does not match", packed.Key, packed.Revision)
	}
	return gage.Document{Key: packed.Key, Revision: packed.Revision, Value: value}, nil
}
