package table_test

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/table"
)

var start = time.Unix(1_800_000_000, 0)

func newBudget() *table.Budget {
	return &table.Budget{MaxKeys: 1000, MaxAnswerBytes: 10_000}
}

func record(n int) table.Record {
	r := table.Record{
		Request: fmt.Sprint("vm.", n), Epoch: 1, Number: uint64(n), ClaimedAt: start, Phase: table.PhaseRunning,
	}
	binary.BigEndian.PutUint64(r.Key[:], uint64(n))
	return r
}

func TestFullTableAcceptsNoNewKeyAndEvictsNone(t *testing.T) {
	budget := newBudget()
	one, other := table.New(budget), table.New(budget)
	for i := range 1000 {
		assert.Assert(t, one.Put(record(i)))
	}
	assert.Assert(t, !one.Put(record(1000)))
	assert.Assert(t, !other.Put(record(1001)))
	assert.Equal(t, one.Len(), 1000)
	one.Expire(start.Add(table.Retention + time.Second))
	assert.Equal(t, budget.Keys, 0)
	assert.Assert(t, other.Put(record(1001)))
}

func TestNewerRecordReplacesAnOlderOne(t *testing.T) {
	budget := newBudget()
	tab := table.New(budget)
	older, newer := record(1), record(1)
	newer.Request, newer.Number = "vm.other", 2
	tab.Put(newer)
	tab.Put(older)
	found, _ := tab.Find(newer.Key)
	assert.DeepEqual(t, found, newer)
	tab = table.New(budget)
	tab.Put(older)
	tab.Put(newer)
	found, _ = tab.Find(newer.Key)
	assert.DeepEqual(t, found, newer)
}

func TestLaterOutcomesOfACallAreIgnored(t *testing.T) {
	budget := newBudget()
	tab := table.New(budget)
	r := record(1)
	tab.Put(r)
	tab.Settle(r.Key, "vm.other", gage.OutcomeNotRun, gage.Result{})
	assert.Equal(t, tab.Len(), 1)
	tab.Settle(r.Key, r.Request, gage.OutcomeRan, gage.Result{Status: 200, Body: []byte("7")})
	tab.Settle(r.Key, r.Request, gage.OutcomeNotRun, gage.Result{})
	tab.Put(r)
	found, _ := tab.Find(r.Key)
	assert.Equal(t, found.Phase, table.PhaseRan)
	assert.Equal(t, string(tab.Answer(r.Key).Body), "7")
	assert.Equal(t, budget.AnswerBytes, 1)
}

func TestAnswersAreBounded(t *testing.T) {
	budget := newBudget()
	tab := table.New(budget)
	for i := range 10 {
		r := record(i)
		tab.Put(r)
		tab.Settle(r.Key, r.Request, gage.OutcomeRan, gage.Result{Status: 200, Body: make([]byte, table.MaxBytesPerAnswer)})
	}
	assert.Equal(t, budget.AnswerBytes, 2*table.MaxBytesPerAnswer)
	tooLarge := record(11)
	tab.Put(tooLarge)
	tab.Settle(tooLarge.Key, tooLarge.Request, gage.OutcomeRan, gage.Result{Status: 200, Body: make([]byte, table.MaxBytesPerAnswer+1)})
	assert.Equal(t, tab.Answer(tooLarge.Key).Status, 0)
	tab.Clear()
	assert.Equal(t, budget.AnswerBytes, 0)
}

func TestAbandonDoesNotRemoveGrantedClaims(t *testing.T) {
	tab := table.New(newBudget())
	r := record(1)
	tab.Put(r)
	assert.Assert(t, tab.Grant(r.Key, r.Request, 1))
	tab.Abandon(r.Key, r.Request)
	assert.Equal(t, tab.Len(), 1)
}

// Records are added and removed between the pages. Every record that is in the
// table from before the first page to the end must be in one of the pages.
func TestPagesReturnEveryRecordThatStays(t *testing.T) {
	tab := table.New(newBudget())
	for i := range 300 {
		tab.Put(record(i))
	}
	returned := make(map[table.Key]bool)
	after := uint64(0)
	for page := 0; ; page++ {
		records, next, done := tab.Page(after, 50)
		for _, r := range records {
			returned[r.Key] = true
		}
		if done {
			break
		}
		after = next
		released := record(page * 60)
		tab.Settle(released.Key, released.Request, gage.OutcomeNotRun, gage.Result{})
		tab.Put(record(400 + page))
	}
	for i := range 300 {
		key := record(i).Key
		if _, found := tab.Find(key); found {
			assert.Assert(t, returned[key], "no page has record %d", i)
		}
	}
}

// Claims that are released at once leave stale positions in the insertion order,
// which must be compacted.
func TestReleasedKeysDoNotGrowTheTable(t *testing.T) {
	tab := table.New(newBudget())
	remaining := record(0)
	tab.Put(remaining)
	for i := 1; i < 100_000; i++ {
		r := record(i)
		tab.Put(r)
		tab.Settle(r.Key, r.Request, gage.OutcomeNotRun, gage.Result{})
	}
	records, _, done := tab.Page(0, 10)
	assert.Assert(t, done)
	assert.DeepEqual(t, records, []table.Record{remaining})
}

func TestKeyDependsOnTheBoundariesOfItsParts(t *testing.T) {
	a := table.KeyOf(gage.Call{Workspace: "ab", Route: "c", IdempotencyKey: "d"})
	b := table.KeyOf(gage.Call{Workspace: "a", Route: "bc", IdempotencyKey: "d"})
	assert.Assert(t, a != b)
}

func BenchmarkMemoryOfAKey(b *testing.B) {
	const keys = 200_000
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		tab := table.New(&table.Budget{MaxKeys: keys})
		for i := range keys {
			r := record(i)
			r.Request = fmt.Sprintf("vm-1234.%016x/1", i)
			tab.Put(r)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "B/key")
		runtime.KeepAlive(tab)
	}
}

func BenchmarkPutAndSettle(b *testing.B) {
	tab := table.New(&table.Budget{MaxKeys: 1 << 30, MaxAnswerBytes: 1 << 20})
	b.ReportAllocs()
	for i := range b.N {
		r := record(i)
		tab.Put(r)
		tab.Settle(r.Key, r.Request, gage.OutcomeRan, gage.Result{})
	}
}
