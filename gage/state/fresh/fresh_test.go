package fresh_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage/state/fresh"
)

var now = time.Unix(1_000_000, 0)

func ago(seconds float64) time.Time {
	return now.Add(-time.Duration(seconds * float64(time.Second)))
}

func TestDecide(t *testing.T) {
	never := time.Time{}
	report := func(zone string, tried, reached time.Time) fresh.Report {
		return fresh.Report{Zone: zone, TriedAt: tried, ReachedAt: reached}
	}
	tests := []struct {
		name       string
		generation int64
		reports    []fresh.Report
		want       fresh.Verdict
	}{
		{"no configuration", 0, []fresh.Report{report("a", ago(1), ago(1))}, fresh.NoConfig},
		{"one zone reached the store", 1, []fresh.Report{report("a", ago(9), ago(9)), report("b", never, never), report("c", never, never)}, fresh.Confirmed},
		{"just within the bound", 1, []fresh.Report{report("a", ago(10), ago(10))}, fresh.Confirmed},
		{"all tried, none reached", 1, []fresh.Report{report("a", ago(1), ago(60)), report("b", ago(2), never), report("c", ago(3), never)}, fresh.StoreOutage},
		{"two of three tried", 1, []fresh.Report{report("a", ago(1), never), report("b", ago(2), never), report("c", ago(11), never)}, fresh.StoreOutage},
		{"one of three tried", 1, []fresh.Report{report("a", ago(1), never), report("b", ago(11), never), report("c", never, never)}, fresh.Isolated},
		{"one of two tried", 1, []fresh.Report{report("a", ago(1), never), report("b", ago(11), never)}, fresh.Isolated},
		{"new node without any report", 1, []fresh.Report{report("a", never, never)}, fresh.Isolated},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			view := fresh.View{Generation: tt.generation, Reports: tt.reports}
			assert.Equal(t, fresh.Decide(now, view, fresh.IsolationBound), tt.want)
		})
	}
}

func TestMergeKeepsTheLaterTimes(t *testing.T) {
	table := fresh.New("a")
	table.Merge(fresh.Report{Zone: "b", TriedAt: ago(5), ReachedAt: ago(9)})
	table.Merge(fresh.Report{Zone: "b", TriedAt: ago(7), ReachedAt: ago(8)})
	table.AddZone("b")
	assert.DeepEqual(t, table.Reports(), []fresh.Report{{Zone: "a"}, {Zone: "b", TriedAt: ago(5), ReachedAt: ago(8)}})
	assert.Equal(t, table.ConfirmedAt(), ago(8))
}

func TestExpireKeepsZonesWithoutReads(t *testing.T) {
	table := fresh.New("a")
	table.Merge(fresh.Report{Zone: "a", TriedAt: ago(100)})
	table.Merge(fresh.Report{Zone: "b", TriedAt: ago(100)})
	table.AddZone("c")
	table.Expire(ago(50), "a")
	assert.DeepEqual(t, table.Reports(), []fresh.Report{{Zone: "a", TriedAt: ago(100)}, {Zone: "c"}})
}

func TestTableIsBounded(t *testing.T) {
	table := fresh.New("a")
	for i := range 1000 {
		table.Merge(fresh.Report{Zone: fmt.Sprint(i), TriedAt: ago(1)})
	}
	assert.Equal(t, len(table.Reports()), 64)
}

func TestAgeUsesTheClockWithTheLongerTime(t *testing.T) {
	// While a VM is paused its monotonic clock stops; its wall clock is set forward
	// afterwards.
	monotonic := time.Now()
	wallOnly := monotonic.Round(0).Add(-time.Minute)
	assert.Assert(t, fresh.Age(monotonic, wallOnly) >= time.Minute)
	assert.Equal(t, fresh.Age(monotonic, monotonic.Add(-time.Second)), time.Second)
}
