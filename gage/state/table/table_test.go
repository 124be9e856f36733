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

func bound() *table.Budget {
	return &table.Budget{MaxKeys: 1000, MaxAnswerBytes: 10_000}
}

func record(n int) table.Record {
	r := table.Record{
		Request: fmt.Sprint("vm.", n), Epoch: 1, Number: uint64(n), ClaimedAt: start, Phase: table.PhaseRunning,
	}
	binary.BigEndian.PutUint64(r.Key[:], uint64(n))
	return r
}

func TestFullTableTakesNoNewKeyAndLosesNone(t *testing.T) {
	b := bound()
	one, other := table.New(b), table.New(b)
	for i := range 1000 {
		assert.Assert(t, one.Put(record(i)))
	}
	assert.Assert(t, !one.Put(record(1000)))
	assert.Assert(t, !other.Put(record(1001)))
	assert.Equal(t, one.Len(), 1000)
	one.Expire(start.Add(table.Retention + time.Second))
	assert.Equal(t, b.Keys, 0)
	assert.Assert(t, other.Put(record(1001)))
}

func TestNewerRecordReplacesAnOlderOne(t *testing.T) {
	b := bound()
	tab := table.New(b)
	older, newer := record(1), record(1)
	newer.Request, newer.Number = "vm.other", 2
	tab.Put(newer)
	tab.Put(older)
	found, _ := tab.Find(newer.Key)
	assert.DeepEqual(t, found, newer)
	tab = table.New(b)
	tab.Put(older)
	tab.Put(newer)
	found, _ = tab.Find(newer.Key)
	assert.DeepEqual(t, found, newer)
}

func TestFirstWordOnACallStands(t *testing.T) {
	b := bound()
	tab := table.New(b)
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
	assert.Equal(t, b.AnswerBytes, 1)
}

func TestAnswersAreBounded(t *testing.T) {
	b := bound()
	tab := table.New(b)
	for i := range 10 {
		r := record(i)
		tab.Put(r)
		tab.Settle(r.Key, r.Request, gage.OutcomeRan, gage.Result{Status: 200, Body: make([]byte, table.MaxBytesPerAnswer)})
	}
	assert.Equal(t, b.AnswerBytes, 2*table.MaxBytesPerAnswer)
	big := record(11)
	tab.Put(big)
	tab.Settle(big.Key, big.Request, gage.OutcomeRan, gage.Result{Status: 200, Body: make([]byte, table.MaxBytesPerAnswer+1)})
	assert.Equal(t, tab.Answer(big.Key).Status, 0)
	tab.Clear()
	assert.Equal(t, b.AnswerBytes, 0)
}

func TestAbandonSparesGrantedClaims(t *testing.T) {
	tab := table.New(bound())
	r := record(1)
	tab.Put(r)
	assert.Assert(t, tab.Grant(r.Key, r.Request, 1))
	tab.Abandon(r.Key, r.Request)
	assert.Equal(t, tab.Len(), 1)
}

// Every record that was there before the first page and stays is in a page,
// whatever is put and freed meanwhile.
func TestPagesMissNothing(t *testing.T) {
	tab := table.New(bound())
	for i := range 300 {
		tab.Put(record(i))
	}
	seen := make(map[table.Key]bool)
	after := uint64(0)
	for page := 0; ; page++ {
		records, next, done := tab.Page(after, 50)
		for _, r := range records {
			seen[r.Key] = true
		}
		if done {
			break
		}
		after = next
		freed := record(page * 60)
		tab.Settle(freed.Key, freed.Request, gage.OutcomeNotRun, gage.Result{})
		tab.Put(record(400 + page))
	}
	for i := range 300 {
		key := record(i).Key
		if _, there := tab.Find(key); there {
			assert.Assert(t, seen[key], "record %d", i)
		}
	}
}

// A key that is claimed and freed over and over leaves no growing order.
func TestFreedKeysLeaveNothing(t *testing.T) {
	tab := table.New(bound())
	keep := record(0)
	tab.Put(keep)
	for i := 1; i < 100_000; i++ {
		r := record(i)
		tab.Put(r)
		tab.Settle(r.Key, r.Request, gage.OutcomeNotRun, gage.Result{})
	}
	records, _, done := tab.Page(0, 10)
	assert.Assert(t, done)
	assert.DeepEqual(t, records, []table.Record{keep})
}

func TestKeysOfDifferentPartsDiffer(t *testing.T) {
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
