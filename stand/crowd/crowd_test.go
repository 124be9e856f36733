package crowd_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/stand/fleet"
)

const (
	// crowdSize is the number of clients in a crowd, crowdTime how long they send.
	crowdSize = 300
	crowdTime = 5 * time.Second
)

// checkCrowd puts a crowd at nodes, whose limits are few of both, and then many sockets.
// Their processes live on and stay within their memory and descriptors, and serve an
// ordinary request afterwards.
func checkCrowd(t *testing.T, crowd func(d *deployment) []member) {
	t.Helper()
	t.Run("few sockets", func(t *testing.T) { checkLimits(t, fewOfBoth, crowd) })
	t.Run("many sockets", func(t *testing.T) { checkLimits(t, manySockets, crowd) })
}

func checkLimits(t *testing.T, l limits, crowd func(d *deployment) []member) {
	t.Helper()
	d := newDeployment(t, l)
	outcomes, most := besideCrowd(t, d.processes(), crowd(d), func() string { return d.ask(d.vms[0], "/book/1") })
	t.Logf("ordinary requests beside the crowd: %v", outcomes)
	checkUsage(t, d.processes(), most, l)
	d.waitServed()
}

// besideCrowd runs a crowd for crowdTime and asks ordinary requests beside it. It returns how
// often each outcome of ask was seen, and the most that each process used.
func besideCrowd(t *testing.T, processes []*fleet.Process, crowd []member, ask func() string) (map[string]int, []usage) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	stop := watch(t, processes)
	outcomes := make(map[string]int)
	var asking sync.WaitGroup
	asking.Go(func() {
		for ; ctx.Err() == nil; wait(ctx, 100*time.Millisecond) {
			outcomes[ask()]++
		}
	})
	run(ctx, crowd)
	asking.Wait()
	return outcomes, stop()
}

// checkUsage checks that processes live and have stayed within their limits.
func checkUsage(t *testing.T, processes []*fleet.Process, most []usage, l limits) {
	t.Helper()
	for i, p := range processes {
		assert.Assert(t, p.Running(), "%s has ended", p.Name)
		peak, err := peakResidentBytes(p)
		assert.NilError(t, err)
		u, memory := most[i], int64(l.memoryMegabytes)<<20
		sum := u.residentBytes + u.unreadBytes
		t.Logf("%s: %d MB resident, %d MB resident and unread (%d MB unread), %d descriptors, %d sockets", p.Name,
			peak>>20, sum>>20, u.unreadBytes>>20, u.descriptors, u.sockets)
		assert.Check(t, peak <= memory, "%s: %d MB resident", p.Name, peak>>20)
		assert.Check(t, sum <= memory, "%s: %d MB resident and unread", p.Name, sum>>20)
		assert.Check(t, u.descriptors <= l.descriptors, "%s: %d descriptors", p.Name, u.descriptors)
		assert.Check(t, u.sockets <= l.descriptors-reservedDescriptors, "%s: %d sockets", p.Name, u.sockets)
	}
}

// checkAtCallersPort puts a crowd of one kind at the port for callers of one node.
func checkAtCallersPort(t *testing.T, send sender) {
	t.Helper()
	checkCrowd(t, func(d *deployment) []member { return members(crowdSize, d.vms[0].address(portCallers), send) })
}

func TestIdleConnections(t *testing.T)          { checkAtCallersPort(t, sendNothing) }
func TestShortLinesWithoutEnd(t *testing.T)     { checkAtCallersPort(t, sendShortLines) }
func TestShortLinesWithinTheLimit(t *testing.T) { checkAtCallersPort(t, sendShortLinesSlowly) }
func TestLineWithoutEnd(t *testing.T)           { checkAtCallersPort(t, sendLongLine) }
func TestCompleteHeadsOfManyLines(t *testing.T) { checkAtCallersPort(t, sendCompleteHeads) }
func TestEmptyLinesWithoutEnd(t *testing.T)     { checkAtCallersPort(t, sendEmptyLines) }
func TestOtherProtocol(t *testing.T)            { checkAtCallersPort(t, sendOtherProtocol) }
func TestStalledBodies(t *testing.T)            { checkAtCallersPort(t, sendStalledBody) }
func TestChunksWithoutEnd(t *testing.T)         { checkAtCallersPort(t, sendChunks) }
func TestChunkExtensionWithoutEnd(t *testing.T) { checkAtCallersPort(t, sendChunkExtension) }
func TestTrailerWithoutEnd(t *testing.T)        { checkAtCallersPort(t, sendTrailer) }
func TestAnswersThatAreNotRead(t *testing.T)    { checkAtCallersPort(t, sendWithoutReading) }
func TestAnswersThatAreReadSlowly(t *testing.T) { checkAtCallersPort(t, readSlowly) }

// callersMix holds the senders of TestAllKindsAtOnce.
var callersMix = []sender{
	sendNothing, sendShortLines, sendShortLinesSlowly, sendLongLine, sendCompleteHeads, sendEmptyLines,
	sendStalledBody, sendChunks, sendTrailer, sendWithoutReading, readSlowly,
}

func mixedMembers(count int, address string) []member {
	var crowd []member
	for i := range count {
		crowd = append(crowd, member{address, callersMix[i%len(callersMix)]})
	}
	return crowd
}

func TestAllKindsAtOnce(t *testing.T) {
	checkCrowd(t, func(d *deployment) []member { return mixedMembers(crowdSize, d.vms[0].address(portCallers)) })
}

func TestAllKindsAtEveryNode(t *testing.T) {
	checkCrowd(t, func(d *deployment) []member {
		var crowd []member
		for _, v := range d.vms {
			crowd = append(crowd, mixedMembers(crowdSize, v.address(portCallers))...)
		}
		return crowd
	})
}

func TestCrowdAtThePortForNodes(t *testing.T) {
	kinds := map[string]sender{"idle": sendNothing, "header": forwardWithoutEnd, "body": forwardStalledBody}
	for name, send := range kinds {
		t.Run(name, func(t *testing.T) {
			checkCrowd(t, func(d *deployment) []member { return members(crowdSize, d.vms[1].address(portPeers), send) })
		})
	}
}

func TestCrowdAtTheOtherPorts(t *testing.T) {
	checkCrowd(t, func(d *deployment) []member {
		v := d.vms[0]
		return slices.Concat(
			members(crowdSize/3, v.address(portReports), sendShortLines),
			members(crowdSize/3, v.address(portReady), sendShortLines),
			members(crowdSize/3, v.address(portMetrics), sendShortLines),
		)
	})
}
