package store

import (
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/protocol/kvmsg"
)

// maxHistory bounds the number of past events that a watch can start from; older
// events are compacted.
const maxHistory = 10_000

var (
	errTooLarge     = errors.New("etcdserver: request is too large")
	errNoLease      = errors.New("etcdserver: requested lease not found")
	errNotSupported = errors.New("etcdserver: request not supported by the stand-in")
)

// table holds the keys, the leases and the recent events. It is safe for concurrent
// use.
type table struct {
	mu sync.Mutex
	// revision is the revision of the latest change, or 1 before the first change.
	revision int64
	keys     map[string]kvmsg.KeyValue
	leases   map[int64]*lease
	// history has the last maxHistory events in order of revision.
	history []kvmsg.Event
	// compacted is the revision of the latest event dropped from history, or 0.
	compacted int64
	// changed is closed and replaced at each change, to wake watches.
	changed chan struct{}
}

// lease is valid until expires; keep-alives extend it by ttl.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

func newTable() *table {
	return &table{
		revision: 1,
		keys:     make(map[string]kvmsg.KeyValue),
		leases:   make(map[int64]*lease),
		changed:  make(chan struct{}),
	}
}

// read returns the keys of a range, sorted by key.
func (t *table) read(now time.Time, r kvmsg.RangeRequest) kvmsg.RangeResponse {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked(now)
	return t.readLocked(r)
}

// readLocked is read for callers that hold mu.
func (t *table) readLocked(r kvmsg.RangeRequest) kvmsg.RangeResponse {
	answer := kvmsg.RangeResponse{Header: t.header()}
	for key, kv := range t.keys {
		if !inRange(r.Key, r.RangeEnd, key) {
			continue
		}
		if r.KeysOnly {
			kv.Value = nil
		}
		answer.Kvs = append(answer.Kvs, kv)
	}
	slices.SortFunc(answer.Kvs, func(a, b kvmsg.KeyValue) int {
		return strings.Compare(string(a.Key), string(b.Key))
	})
	answer.Count = int64(len(answer.Kvs))
	return answer
}

// txn executes a transaction. It supports only conditions that a key's revision
// equals a value. If it returns an error, it has written nothing.
func (t *table) txn(now time.Time, r kvmsg.TxnRequest) (kvmsg.TxnResponse, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked(now)
	for _, c := range r.Compare {
		if c.Target != kvmsg.CompareModRevision || c.Result != kvmsg.CompareEqual {
			return kvmsg.TxnResponse{}, errNotSupported
		}
	}
	ops, succeeded := r.Success, t.conditionsHold(r.Compare)
	if !succeeded {
		ops = r.Failure
	}
	if err := t.validatePuts(ops); err != nil {
		return kvmsg.TxnResponse{}, err
	}
	answer := kvmsg.TxnResponse{Succeeded: succeeded, Responses: t.applyOps(ops)}
	answer.Header = t.header()
	return answer, nil
}

// conditionsHold reports whether each key has the expected revision; the revision
// of a missing key is 0.
func (t *table) conditionsHold(conditions []kvmsg.Compare) bool {
	for _, c := range conditions {
		if t.keys[string(c.Key)].ModRevision != c.ModRevision {
			return false
		}
	}
	return true
}

// validatePuts returns an error if a put has a value above gage.MaxValueBytes or a
// lease that doesn't exist.
func (t *table) validatePuts(ops []kvmsg.RequestOp) error {
	for _, op := range ops {
		if op.RequestPut == nil {
			continue
		}
		if len(op.RequestPut.Value) > gage.MaxValueBytes {
			return errTooLarge
		}
		if _, ok := t.leases[op.RequestPut.Lease]; op.RequestPut.Lease != 0 && !ok {
			return errNoLease
		}
	}
	return nil
}

// applyOps executes the operations of a transaction in order. All puts get the same
// revision.
func (t *table) applyOps(ops []kvmsg.RequestOp) []kvmsg.ResponseOp {
	var answers []kvmsg.ResponseOp
	var events []kvmsg.Event
	for _, op := range ops {
		if op.RequestRange != nil {
			read := t.readLocked(*op.RequestRange)
			answers = append(answers, kvmsg.ResponseOp{ResponseRange: &read})
			continue
		}
		if op.RequestPut == nil {
			continue
		}
		kv := t.put(*op.RequestPut)
		events = append(events, kvmsg.Event{Kv: kv})
		answers = append(answers, kvmsg.ResponseOp{
			ResponsePut: &kvmsg.PutResponse{Header: kvmsg.Header{Revision: kv.ModRevision}},
		})
	}
	t.commit(events)
	return answers
}

// put stores a key at the next revision. The caller must then call commit, which
// advances the revision.
func (t *table) put(p kvmsg.PutRequest) kvmsg.KeyValue {
	kv := t.keys[string(p.Key)]
	revision := t.revision + 1
	if kv.Version == 0 {
		kv.CreateRevision = revision
	}
	kv.Key = p.Key
	kv.Value = p.Value
	kv.Lease = p.Lease
	kv.ModRevision = revision
	kv.Version++
	t.keys[string(p.Key)] = kv
	return kv
}

// commit advances the revision by one, appends events to the history and wakes the
// watches. Without events it does nothing.
func (t *table) commit(events []kvmsg.Event) {
	if len(events) == 0 {
		return
	}
	t.revision++
	t.history = append(t.history, events...)
	if over := len(t.history) - maxHistory; over > 0 {
		t.compacted = t.history[over-1].Kv.ModRevision
		t.history = slices.Clone(t.history[over:])
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *table) header() kvmsg.Header {
	return kvmsg.Header{Revision: t.revision}
}

// inRange reports whether key is in the range from (inclusive) to end (exclusive).
// As in etcd, an empty end means that the range has only the key from, and an end
// of one zero byte means no upper bound.
func inRange(from, end []byte, key string) bool {
	if len(end) == 0 {
		return key == string(from)
	}
	unbounded := len(end) == 1 && end[0] == 0
	return key >= string(from) && (unbounded || key < string(end))
}
