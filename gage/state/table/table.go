package table

import (
	"slices"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/invar"
)

// Retention is how long a record is stored after its claim: the ten minutes in
// which a key must not run a second time, plus one minute for the difference
// between the clocks of the nodes.
const Retention = 11 * time.Minute

// MaxBytesPerAnswer is the size of the largest answer that is stored.
const MaxBytesPerAnswer = 4 << 10

// The insertion order is compacted once it holds more than compactSlack stale
// positions in addition to one for each record.
const compactSlack = 1024

// Budget is a memory budget: it bounds the records and the answers that all
// tables of one process store together. It is not safe for concurrent use, and
// neither are the tables that share it.
type Budget struct {
	MaxKeys        int
	MaxAnswerBytes int
	// Keys is the number of records in all tables, at most MaxKeys.
	Keys int
	// AnswerBytes is the total size of the stored answers, at most
	// MaxAnswerBytes.
	AnswerBytes int
}

// Table holds the claims that a process stores for one slot of a shard. A record
// is removed only when it expires or its claim is released; a full table accepts
// no more keys.
type Table struct {
	budget  *Budget
	entries map[Key]*entry
	// insertionOrder lists the records by ascending sequence. A position is
	// stale when its record was removed or was replaced under another sequence.
	insertionOrder []position
	// lastSequence is the sequence of the newest record.
	lastSequence uint64
}

type entry struct {
	record Record
	// sequence is the number of the entry in order of insertion.
	sequence uint64
	// isGranted is true once the call has been allowed to run.
	isGranted bool
	// witness is the slot whose holder recorded a granted claim, or 0.
	witness int
	// answer is nil when no answer is stored.
	answer      *gage.Result
	answerBytes int
}

type position struct {
	key      Key
	sequence uint64
}

// New returns an empty table.
func New(budget *Budget) *Table {
	return &Table{budget: budget, entries: make(map[Key]*entry)}
}

// Len returns the number of records.
func (t *Table) Len() int {
	return len(t.entries)
}

// Find returns the record of a key.
func (t *Table) Find(key Key) (Record, bool) {
	e, ok := t.entries[key]
	if !ok {
		return Record{}, false
	}
	return e.record, true
}

// Answer returns the stored answer of a key, or a Result with Status 0.
func (t *Table) Answer(key Key) gage.Result {
	e, ok := t.entries[key]
	if !ok || e.answer == nil {
		return gage.Result{}
	}
	return *e.answer
}

// Put adds a record. If the table already has a record of the key, r is merged into
// it if both belong to the same call. Otherwise the newer one of the two stays. Put
// returns false when the table is full.
func (t *Table) Put(r Record) bool {
	existing, ok := t.entries[r.Key]
	if ok && existing.record.Request == r.Request {
		existing.merge(r)
		return true
	}
	if ok && !r.Newer(existing.record) {
		return true
	}
	if ok {
		t.remove(r.Key)
		t.compact()
	}
	if t.budget.Keys >= t.budget.MaxKeys {
		invar.Check(!ok, "LiveKeyNeverEvicted", "Keys", t.budget.Keys)
		return false
	}
	t.budget.Keys++
	t.lastSequence++
	t.entries[r.Key] = &entry{record: r, sequence: t.lastSequence}
	t.insertionOrder = append(t.insertionOrder, position{r.Key, t.lastSequence})
	return true
}

// merge combines e with another record of the same call. e gets the greater (Epoch,
// Number) of the two. If its phase is PhaseRunning, it gets the phase of r.
func (e *entry) merge(r Record) {
	if r.Newer(e.record) {
		e.record.Epoch = r.Epoch
		e.record.Number = r.Number
	}
	if e.record.Phase == PhaseRunning {
		e.record.Phase = r.Phase
	}
}

// Grant marks the claim of a call as granted, that is, the call may run.
// witness is the slot whose holder recorded the claim. Grant returns false when
// the key has no record, or when its record belongs to another call or its call is
// no longer running.
func (t *Table) Grant(key Key, request string, witness int) bool {
	e, ok := t.entries[key]
	if !ok || e.record.Request != request || e.record.Phase != PhaseRunning {
		return false
	}
	e.isGranted = true
	e.witness = witness
	return true
}

// Witness returns the slot whose holder recorded a granted claim, or 0 when the
// slot is not known.
func (t *Table) Witness(key Key) int {
	e, ok := t.entries[key]
	if !ok {
		return 0
	}
	return e.witness
}

// Abandon removes the record of a call whose claim was not granted.
func (t *Table) Abandon(key Key, request string) {
	e, ok := t.entries[key]
	if ok && e.record.Request == request && !e.isGranted && e.record.Phase == PhaseRunning {
		t.remove(key)
		t.compact()
	}
}

// Settle stores the outcome of the call that holds a key. Only the first
// outcome of a call counts. NotRun removes the record, so that the key can be
// claimed again.
func (t *Table) Settle(key Key, request string, outcome gage.Outcome, answer gage.Result) {
	e, ok := t.entries[key]
	if !ok || e.record.Request != request || e.record.Phase != PhaseRunning {
		return
	}
	switch outcome {
	case gage.OutcomeNotRun:
		t.remove(key)
		t.compact()
	case gage.OutcomeRan:
		e.record.Phase = PhaseRan
		t.storeAnswer(e, answer)
	default:
		e.record.Phase = PhaseUnknown
	}
}

// storeAnswer stores an answer if it is small enough and the budget has room.
func (t *Table) storeAnswer(e *entry, answer gage.Result) {
	size := AnswerSize(answer)
	if answer.Status == 0 || size > MaxBytesPerAnswer || t.budget.AnswerBytes+size > t.budget.MaxAnswerBytes {
		return
	}
	t.budget.AnswerBytes += size
	e.answerBytes = size
	e.answer = &answer
}

// AnswerSize returns the size of the body and the headers of an answer, in
// bytes.
func AnswerSize(answer gage.Result) int {
	size := len(answer.Body)
	for _, h := range answer.Header {
		size += len(h.Name) + len(h.Value)
	}
	return size
}

// Expire removes the records older than Retention.
func (t *Table) Expire(now time.Time) {
	droppedPositions := 0
	for _, p := range t.insertionOrder {
		e, ok := t.entries[p.key]
		if ok && e.sequence == p.sequence {
			if now.Sub(e.record.ClaimedAt) <= Retention {
				break
			}
			t.remove(p.key)
		}
		droppedPositions++
	}
	t.insertionOrder = t.insertionOrder[droppedPositions:]
}

// Clear removes every record and frees its part of the budget.
func (t *Table) Clear() {
	for key := range t.entries {
		t.remove(key)
	}
	t.insertionOrder = nil
}

// Page returns up to limit records with a sequence above after. next is the
// value of after for the next page; done is true when no page follows.
func (t *Table) Page(after uint64, limit int) (records []Record, next uint64, done bool) {
	start, _ := slices.BinarySearchFunc(t.insertionOrder, after+1, func(p position, sequence uint64) int {
		if p.sequence < sequence {
			return -1
		}
		return int(min(p.sequence-sequence, 1))
	})
	next = after
	for _, p := range t.insertionOrder[start:] {
		if len(records) >= limit {
			return records, next, false
		}
		next = p.sequence
		if e, ok := t.entries[p.key]; ok && e.sequence == p.sequence {
			records = append(records, e.record)
		}
	}
	return records, next, true
}

func (t *Table) remove(key Key) {
	e := t.entries[key]
	t.budget.Keys--
	t.budget.AnswerBytes -= e.answerBytes
	invar.Check(t.budget.Keys >= 0 && t.budget.AnswerBytes >= 0, "TableBound",
		"Keys", t.budget.Keys, "AnswerBytes", t.budget.AnswerBytes)
	delete(t.entries, key)
}

// compact removes the stale positions when there are more than compactSlack
// beyond one for each record.
func (t *Table) compact() {
	if len(t.insertionOrder) <= 2*len(t.entries)+compactSlack {
		return
	}
	t.insertionOrder = slices.DeleteFunc(t.insertionOrder, func(p position) bool {
		e, ok := t.entries[p.key]
		return !ok || e.sequence != p.sequence
	})
}
