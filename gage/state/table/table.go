package table

import (
	"slices"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/invar"
)

// Retention is how long a record is kept: the ten minutes for which a key is
// never run again, and a minute for the difference between clocks.
const Retention = 11 * time.Minute

// MaxBytesPerAnswer bounds one kept answer.
const MaxBytesPerAnswer = 4 << 10

// compactSlack is how many dead places the order may hold beyond one for each
// record.
const compactSlack = 1024

// Budget is what the tables of one process may hold together. It is not safe
// for concurrent use, like the tables that share it.
type Budget struct {
	MaxKeys        int
	MaxAnswerBytes int
	// Keys and AnswerBytes never exceed their bounds.
	Keys        int
	AnswerBytes int
}

// Table holds the claims of one slot. A live record is never evicted: a full
// table takes no more keys.
type Table struct {
	bound   *Budget
	entries map[Key]*entry
	// order lists the records from the oldest to the newest sequence. A place
	// whose record has gone or has another sequence is dead.
	order []place
	// sequence is that of the newest record.
	sequence uint64
}

type entry struct {
	record   Record
	sequence uint64
	granted  bool
	// witness is the slot that recorded a granted claim, or 0.
	witness int
	answer  *gage.Result
	size    int
}

type place struct {
	key      Key
	sequence uint64
}

// New returns an empty table.
func New(bound *Budget) *Table {
	return &Table{bound: bound, entries: make(map[Key]*entry)}
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

// Answer returns the kept answer of a key, or a Result with Status 0.
func (t *Table) Answer(key Key) gage.Result {
	e, ok := t.entries[key]
	if !ok || e.answer == nil {
		return gage.Result{}
	}
	return *e.answer
}

// Put takes in a record unless a newer one of its key is known, and returns
// false when the table is full. What is known of the same call is kept.
func (t *Table) Put(r Record) bool {
	known, ok := t.entries[r.Key]
	if ok && known.record.Request == r.Request {
		known.merge(r)
		return true
	}
	if ok && !r.Newer(known.record) {
		return true
	}
	if ok {
		t.remove(r.Key)
		t.compact()
	}
	if t.bound.Keys >= t.bound.MaxKeys {
		invar.Check(!ok, "LiveKeyNeverEvicted", "Keys", t.bound.Keys)
		return false
	}
	t.bound.Keys++
	t.sequence++
	t.entries[r.Key] = &entry{record: r, sequence: t.sequence}
	t.order = append(t.order, place{r.Key, t.sequence})
	return true
}

// merge keeps the newer pair and the more settled phase of one call.
func (e *entry) merge(r Record) {
	if r.Newer(e.record) {
		e.record.Epoch = r.Epoch
		e.record.Number = r.Number
	}
	if e.record.Phase == PhaseRunning {
		e.record.Phase = r.Phase
	}
}

// Grant marks that the call of a record was told that it may run, since the
// witness in a slot recorded it. It returns false when the record has gone or
// belongs to another call.
func (t *Table) Grant(key Key, request string, witness int) bool {
	e, ok := t.entries[key]
	if !ok || e.record.Request != request || e.record.Phase != PhaseRunning {
		return false
	}
	e.granted = true
	e.witness = witness
	return true
}

// Witness returns the slot that recorded a granted claim, or 0 when it is not
// known.
func (t *Table) Witness(key Key) int {
	e, ok := t.entries[key]
	if !ok {
		return 0
	}
	return e.witness
}

// Abandon removes the record of a call that was never told that it may run.
func (t *Table) Abandon(key Key, request string) {
	e, ok := t.entries[key]
	if ok && e.record.Request == request && !e.granted && e.record.Phase == PhaseRunning {
		t.remove(key)
		t.compact()
	}
}

// Settle takes in what became of the call that holds a key. The first word
// on a call stands. An outcome of NotRun frees the key.
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
		t.keepAnswer(e, answer)
	default:
		e.record.Phase = PhaseUnknown
	}
}

func (t *Table) keepAnswer(e *entry, answer gage.Result) {
	size := AnswerSize(answer)
	if answer.Status == 0 || size > MaxBytesPerAnswer || t.bound.AnswerBytes+size > t.bound.MaxAnswerBytes {
		return
	}
	t.bound.AnswerBytes += size
	e.size = size
	e.answer = &answer
}

// AnswerSize returns the size that counts against MaxAnswerBytes.
func AnswerSize(answer gage.Result) int {
	size := len(answer.Body)
	for _, h := range answer.Header {
		size += len(h.Name) + len(h.Value)
	}
	return size
}

// Expire removes the records older than Window.
func (t *Table) Expire(now time.Time) {
	done := 0
	for _, p := range t.order {
		e, ok := t.entries[p.key]
		if ok && e.sequence == p.sequence {
			if now.Sub(e.record.ClaimedAt) <= Retention {
				break
			}
			t.remove(p.key)
		}
		done++
	}
	t.order = t.order[done:]
}

// Clear removes every record, so that the bound's room comes back.
func (t *Table) Clear() {
	for key := range t.entries {
		t.remove(key)
	}
	t.order = nil
}

// Page returns up to limit records with a sequence above after, the sequence
// to go on from, and whether there are no more.
func (t *Table) Page(after uint64, limit int) (records []Record, next uint64, done bool) {
	start, _ := slices.BinarySearchFunc(t.order, after+1, func(p place, sequence uint64) int {
		if p.sequence < sequence {
			return -1
		}
		return int(min(p.sequence-sequence, 1))
	})
	next = after
	for _, p := range t.order[start:] {
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
	t.bound.Keys--
	t.bound.AnswerBytes -= e.size
	invar.Check(t.bound.Keys >= 0 && t.bound.AnswerBytes >= 0, "TableBound",
		"Keys", t.bound.Keys, "AnswerBytes", t.bound.AnswerBytes)
	delete(t.entries, key)
}

// compact drops the dead places when they are more than the live ones.
func (t *Table) compact() {
	if len(t.order) <= 2*len(t.entries)+compactSlack {
		return
	}
	t.order = slices.DeleteFunc(t.order, func(p place) bool {
		e, ok := t.entries[p.key]
		return !ok || e.sequence != p.sequence
	})
}
