package spread

import (
	"context"
	"time"
)

// Head names the newest revision of a document that a node holds.
type Head struct {
	Key      string
	Revision int64
}

// ZoneAge is a fresh.Report as it travels: in ages, since the clocks of two
// VMs are never compared. A negative age means never.
type ZoneAge struct {
	Zone       string
	TriedAge   time.Duration
	ReachedAge time.Duration
}

// Digest tells a peer what a node holds.
type Digest struct {
	// From is the PeerAddress of the sender.
	From string
	// Summary is a hash over all heads; equal summaries mean equal views.
	Summary uint64
	// Heads are, in a request, documents that are new at the sender, and in
	// an answer all heads of the sender unless the summaries are equal.
	Heads []Head
	// AllZones asks for every zone in the answer. Otherwise the zone last heard
	// of is enough, which keeps the usual exchange short.
	AllZones bool
	// Zones come in answers only, since the receiver can bound the age of an
	// answer, by its own request, but not that of a request.
	Zones []ZoneAge
}

// PullRequest asks for a document.
type PullRequest struct {
	Key string
	// HeldRevision is the revision that the receiver holds, or 0.
	HeldRevision int64
}

// PullReply is a document on its way.
type PullReply struct {
	Key string
	// Revision is 0 when the sender does not hold the document.
	Revision int64
	// BaseRevision is the revision that Body is a delta against, or 0.
	BaseRevision int64
	// Plain tells that Body is the document itself.
	Plain bool
	Body  []byte
	// Checksum is the hash of the document.
	Checksum uint64
}

// Peer carries messages to other nodes. An error means that nothing is known
// of what became of the message.
type Peer interface {
	Exchange(ctx context.Context, address string, d Digest) (Digest, error)
	Pull(ctx context.Context, address string, p PullRequest) (PullReply, error)
}
