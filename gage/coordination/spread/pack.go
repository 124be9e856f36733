package spread

import (
	"fmt"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/delta"
)

// maxPlainBytes is the size of the largest document that is sent uncompressed.
const maxPlainBytes = 2 << 10

// packer encodes documents for PullReply. It compresses one document at a time,
// so that a burst of pulls occupies at most one CPU core. It caches the last
// compressed reply, since other neighbors are likely to request the same one.
type packer struct {
	mu        sync.Mutex
	lastReply PullReply
}

// pack returns the reply with d for a node that holds base. An empty base means
// that the node holds no revision that can serve as a base.
func (p *packer) pack(d, base gage.Document) (PullReply, error) {
	reply := PullReply{Key: d.Key, Revision: d.Revision, Checksum: xxhash.Sum64(d.Value)}
	if len(d.Value) <= maxPlainBytes {
		reply.Plain = true
		reply.Body = d.Value
		return reply, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastReply.Key == d.Key && p.lastReply.Revision == d.Revision && p.lastReply.BaseRevision == base.Revision {
		return p.lastReply, nil
	}
	body, err := delta.Encode(base.Value, d.Value)
	if err != nil {
		return PullReply{}, err
	}
	reply.BaseRevision = base.Revision
	reply.Body = body
	p.lastReply = reply
	return reply, nil
}

// unpack decodes the document in reply. base is the document at the BaseRevision
// of reply, or empty.
func unpack(reply PullReply, base gage.Document) (gage.Document, error) {
	value := reply.Body
	if !reply.Plain {
		var err error
		value, err = delta.Decode(base.Value, reply.Body, gage.MaxValueBytes)
		if err != nil {
			return gage.Document{}, err
		}
	}
	if xxhash.Sum64(value) != reply.Checksum {
		return gage.Document{}, fmt.Errorf("checksum mismatch in document %s at revision %d", reply.Key, reply.Revision)
	}
	return gage.Document{Key: reply.Key, Revision: reply.Revision, Value: value}, nil
}
