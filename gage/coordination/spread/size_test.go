package spread_test

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
)

// fleetSize is the number of nodes in TestFleetSize. For example:
// go test -run TestFleetSize -v ./gage/coordination/spread -args -fleet.size 2800
var fleetSize = flag.Int("fleet.size", 24, "nodes in TestFleetSize")

const (
	// maxStoreCallRatePerZone is the maximum rate of store calls by the nodes of one
	// zone, in calls per second.
	maxStoreCallRatePerZone = 2 * 2 * readersPerZone
	readersPerZone          = 2
)

// TestFleetSize measures how fast changes reach all nodes and how many messages and
// store calls the replication needs. It checks the limit on store calls, and that
// no node refuses callers during a store outage.
func TestFleetSize(t *testing.T) {
	zones := 3
	if *fleetSize > 1000 {
		zones = 15
	}
	synctest.Test(t, func(t *testing.T) { measureFleet(t, *fleetSize, zones) })
}

func measureFleet(t *testing.T, size, zones int) {
	f := newFleet(size, zones, 6)
	defer f.stop()
	file := largeFile()
	elapsed := f.waitForRevision(t, f.store.write(gage.StoreConfigKey, file))
	t.Logf("%d nodes, %d zones: first file of %d bytes at all nodes after %s", size, zones, len(file), elapsed)
	time.Sleep(10 * time.Second)

	calls, messages, bytesSent := f.trafficTotals()
	start := time.Now()
	var maxAge time.Duration
	for range 20 {
		time.Sleep(500 * time.Millisecond)
		maxAge = max(maxAge, f.maxConfirmationAge())
	}
	seconds := time.Since(start).Seconds()
	nextCalls, nextMessages, nextBytesSent := f.trafficTotals()
	callRate := float64(nextCalls-calls) / seconds
	t.Logf("without changes: %.1f store calls/s, %.2f messages/s and %.0f B/s sent by each node, oldest confirmation %s",
		callRate, float64(nextMessages-messages)/seconds/float64(size), float64(nextBytesSent-bytesSent)/seconds/float64(size), maxAge)
	assert.Assert(t, callRate <= float64(maxStoreCallRatePerZone*zones), "%.1f store calls/s", callRate)

	f.measureChanges(t, file)
	f.measureOutage(t)
	assert.Equal(t, len(f.violations), 0, "%v", f.violations)
}

// measureChanges measures how fast small changes of the file reach all nodes.
func (f *testFleet) measureChanges(t *testing.T, file []byte) {
	const changeCount = 5
	var durations []time.Duration
	_, messages, bytesSent := f.trafficTotals()
	start := time.Now()
	for i := range changeCount {
		file = bytes.Replace(file, fmt.Appendf(nil, "Rate = %d.0", 100+i), fmt.Appendf(nil, "Rate = %d.0", 101+i), 1)
		durations = append(durations, f.waitForRevision(t, f.store.write(gage.StoreConfigKey, file)))
		time.Sleep(time.Second)
	}
	slices.Sort(durations)
	seconds := time.Since(start).Seconds()
	_, nextMessages, nextBytesSent := f.trafficTotals()
	nodes := float64(len(f.nodes))
	t.Logf("%d changes: at all nodes after %s (median), %s (longest); %.1f messages/s and %.0f B/s sent by each node during the changes",
		changeCount, durations[changeCount/2], durations[changeCount-1], float64(nextMessages-messages)/seconds/nodes, float64(nextBytesSent-bytesSent)/seconds/nodes)
}

// measureOutage measures how many nodes refuse callers while the store is down. It
// fails the test if there are any.
func (f *testFleet) measureOutage(t *testing.T) {
	f.store.update(func(s *fakeStore) { s.down = true })
	calls, _, bytesSent := f.trafficTotals()
	start := time.Now()
	maxRefusing := 0
	for range 60 {
		time.Sleep(500 * time.Millisecond)
		for verdict, nodes := range f.verdicts() {
			if !verdict.Serves() {
				maxRefusing = max(maxRefusing, nodes)
			}
		}
	}
	seconds := time.Since(start).Seconds()
	nextCalls, _, nextBytesSent := f.trafficTotals()
	t.Logf("store down for %.0f s: at most %d nodes refuse, %.1f store calls/s, %.0f B/s sent by each node", seconds,
		maxRefusing, float64(nextCalls-calls)/seconds, float64(nextBytesSent-bytesSent)/seconds/float64(len(f.nodes)))
	assert.Equal(t, maxRefusing, 0)
}

// trafficTotals returns the totals since the start of the test of store calls,
// messages between nodes and bytes in these messages.
func (f *testFleet) trafficTotals() (calls, messages, bytesSent int64) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	return f.store.calls, f.net.messages, f.net.bytes
}

// maxConfirmationAge returns the longest time since the ConfirmedAt of any node.
func (f *testFleet) maxConfirmationAge() time.Duration {
	var maxAge time.Duration
	for _, n := range f.nodes {
		maxAge = max(maxAge, time.Since(n.current().ConfirmedAt()))
	}
	return maxAge
}

// largeFile returns a configuration file of 240 services with a route each, 500
// workspaces with random key digests, and 2,800 targets.
func largeFile() []byte {
	random := rand.New(rand.NewPCG(7, 7))
	b := bytes.NewBufferString("Deployment = \"large\"\nRate = 100.0\n")
	for i := range 240 {
		fmt.Fprintf(b, "[[Service]]\nName = \"service-%d\"\nMaxConcurrency = 100\nColdStart = \"10s\"\n", i)
		fmt.Fprintf(b, "[[Route]]\nName = \"route-%d\"\nPathPrefix = \"/service-%d\"\nService = \"service-%d\"\n", i, i, i)
	}
	for i := range 500 {
		fmt.Fprintf(b, "[[Workspace]]\nName = \"workspace-%d\"\nRate = 50.0\nBurst = 20.0\nKeyDigests = [\"sha256:%016x%016x%016x%016x\"]\n",
			i, random.Uint64(), random.Uint64(), random.Uint64(), random.Uint64())
	}
	for i := range 2800 {
		fmt.Fprintf(b, "[[Target]]\nName = \"target-%d\"\nInService = true\n", i)
	}
	return b.Bytes()
}
