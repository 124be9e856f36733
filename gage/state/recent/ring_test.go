package recent_test

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/greengagewind/greengagewind/gage/state/recent"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestRingMatchesSlice compares the ring with a slice that holds all events.
func TestRingMatchesSlice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 8).Draw(t, "size")
		ring := recent.New(size)
		var all []recent.Event
		id := rapid.IntRange(0, 3)
		for i := range rapid.IntRange(0, 60).Draw(t, "events") {
			e := recent.Event{
				RequestID: strconv.Itoa(id.Draw(t, "request")),
				RootID:    strconv.Itoa(id.Draw(t, "root")),
				Attempt:   i,
			}
			ring.Add(e)
			all = append(all, e)
			retained := all[max(0, len(all)-size):]
			assert.Equal(t, ring.Len(), len(retained))
			queriedID := strconv.Itoa(id.Draw(t, "queried"))
			want := []recent.Event{}
			for _, e := range retained {
				if e.RequestID == queriedID || e.RootID == queriedID {
					want = append(want, e)
				}
			}
			assert.DeepEqual(t, ring.Events(queriedID), want)
		}
	})
}

func TestEventsReturnsAtMost256(t *testing.T) {
	ring := recent.New(1000)
	for i := range 1000 {
		ring.Add(recent.Event{RequestID: "vm-1.a", Attempt: i})
	}
	events := ring.Events("vm-1.a")
	assert.Equal(t, len(events), 256)
	assert.Equal(t, events[255].Attempt, 999)
}
