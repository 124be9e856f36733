package spread

import (
	"context"
	"time"
)

// Head identifies the newest revision of a document that a node holds.
type Head struct {
	Key      string
	Revision int64
}

// ZoneAge is the form of a fresh.Report in messages. It holds ages instead of
// times, since the clocks of two VMs may differ. A negative age means never.
type ZoneAge struct {
	Zone string
	// TriedAge is the time since a reader of the zone last began to read the
	// store. ReachedAge is the time since a reader of the zone last began a read
	// that succeeded.
	TriedAge   time.Duration
	ReachedAge time.Duration
}

// Digest summarizes the documents that a node holds.
type Digest struct {
	// From is the PeerAddress of the sender.
	From string
	// Summary is a hash over the Head, that is, the key and the revision, of every
	// document that the sender holds. Nodes with equal summaries hold the same
	// revisions of all documents.
	Summary uint64
	// Heads holds, in a request, the documents that are new at the sender. In an
	// answer, it holds all heads of the sender, or none if the summaries are
	// equal.
	Heads []Head
	// AllZones requests the ages of all zones. Otherwise the answer holds only
	// the zone whose readers reached the store last, which keeps most answers
	// short.
	AllZones bool
	// Zones is set in answers only. The receiver of an answer knows that the ages
	// were computed after it sent its request. The receiver of a request could
	// not bound how long the message was delayed.
	Zones []ZoneAge
}

// PullRequest asks for the newest revision of a document.
type PullRequest struct {
	Key string
	// HeldRevision is the revision that the sender holds. The reply may be a delta
	// against it. 0 requests the whole document.
	HeldRevision int64
}

// PullReply answers a PullRequest.
type PullReply struct {
	Key string
	// Revision is 0 if the sender does not hold the document or cannot encode it.
	Revision int64
	// BaseRevision is the revision against which Body is a delta, or 0 if Body
	// holds the whole document.
	BaseRevision int64
	// Plain is true if Body is the document itself, without compression.
	Plain bool
	Body  []byte
	// Checksum is the xxHash of the document.
	Checksum uint64
}

// Peer sends messages to other nodes. After an error it is unknown whether the
// other node has processed the message.
type Peer interface {
	Exchange(ctx context.Context, address string, d Digest) (Digest, error)
	Pull(ctx context.Context, address string, p PullRequest) (PullReply, error)
}
