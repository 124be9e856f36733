package gossip

import "github.com/greengagewind/greengagewind/gage/state/member"

// Kind is the type of a message.
type Kind string

// The kinds of message.
const (
	// KindPing requests an Ack with the same Seq.
	KindPing Kind = "Ping"
	KindAck  Kind = "Ack"
	// KindPingRequest requests that the receiver ping Subject and, when
	// Subject answers, send an Ack with the Seq of the request.
	KindPingRequest Kind = "PingRequest"
	// KindUpdate only carries records.
	KindUpdate Kind = "Update"
	// KindDigest begins an anti-entropy exchange. Buckets holds the hashes of
	// the sender's buckets.
	KindDigest Kind = "Digest"
	// KindEntries answers a Digest. Entries holds the digests of the sender's
	// records in the buckets BucketNumbers, whose hashes differ.
	KindEntries Kind = "Entries"
	// KindWant answers Entries. Records holds the sender's records that the
	// receiver lacks or holds in a different state, and Entries identifies the
	// records that the sender requests.
	KindWant Kind = "Want"
)

// Message is a one-way message between two nodes. An answer is a separate
// message. Any message may be lost, repeated or delayed.
type Message struct {
	Kind Kind
	// From is the sender's VM and FromAddress its PeerAddress.
	From        string
	FromAddress string
	// Seq is the sequence number that matches a Ping or PingRequest with its
	// Ack.
	Seq uint64
	// Subject is the VM to ping and SubjectAddress its PeerAddress. They are
	// set in a PingRequest only.
	Subject        string
	SubjectAddress string
	// Records holds at most MaxRecordsPerMessage records. The receiver merges
	// them into its table, whatever the Kind.
	Records []member.Record
	// Buckets holds member.BucketCount hashes in a Digest.
	Buckets []uint64
	// Entries holds digests of records in Entries and Want messages.
	Entries []member.Digest
	// BucketNumbers holds numbers below member.BucketCount.
	BucketNumbers []uint32
	// Joining marks all messages of an exchange that compares the whole table.
	Joining bool
	// Reliable means that the message is sent over a connection, because
	// datagrams may not arrive.
	Reliable bool
}

// Envelope is a message with the peer address of its receiver.
type Envelope struct {
	Address string
	Message Message
}

// MaxRecordsPerMessage is the maximum number of records in one message. A
// message with more is rejected.
const MaxRecordsPerMessage = 4096
