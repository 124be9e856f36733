package plat_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/stand/plat"
)

// stopTarget ends the target of a VM without a word, and waits until its node knows.
func (f *fleet) stopTarget(v *vm) {
	f.t.Helper()
	v.target.Stop()
	f.waitFor("the target is in doubt", func() bool { return f.send(2, "POST", "/book/1", key).status == 503 })
}

// replaceTarget ends the target of a VM without a word and starts another process at its
// address, which has sent no heartbeat yet.
func (f *fleet) replaceTarget(v *vm, id, service string) *plat.Target {
	f.t.Helper()
	f.stopTarget(v)
	next := &plat.Target{ID: id, Service: service, Zone: v.target.Zone, Slots: 20, ServiceTime: time.Millisecond}
	assert.NilError(f.t, next.StartAt(v.target.Address))
	f.t.Cleanup(next.Stop)
	return next
}

// assertRunsNothing sends requests of the service "booking" for longer than a health check
// takes and asserts that none of them runs at a target.
func (f *fleet) assertRunsNothing(target *plat.Target) {
	f.t.Helper()
	for end := time.Now().Add(1200 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		f.send(0, "POST", "/book/1", key)
		f.send(2, "POST", "/book/1", key)
	}
	assert.Equal(f.t, len(target.Runs()), 0)
}

// The address of a target that ended went to a target of another service. A health check
// found the new process, and until its first heartbeat it ran the requests of the earlier
// service.
func TestTargetOfAnotherServiceGetsNoRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	v := f.vms[2]
	next := f.replaceTarget(v, "i-next", "search")
	f.assertRunsNothing(next)
	assert.NilError(t, next.SendHeartbeat(v.settings.HeartbeatAddress, "ready", 0))
	f.assertRunsNothing(next)
	f.vms[0].target.Stop()
	f.vms[1].target.Stop()
	// It makes no nested calls.
	f.waitFor("the new target serves its own service", func() bool { return f.send(0, "GET", "/look/1", key).status == 200 })
}

// The settings of a VM named another service for its target, and requests that began at
// the VM still ran as requests of the earlier service.
func TestCallerServiceFollowsTheSettings(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	v := f.vms[0]
	settings := v.settings
	settings.Self.Service = "booking"
	v.node.Apply(settings)
	a := f.send(0, "POST", "/book/1", key)
	assert.Equal(t, a.status, 200)
	assert.Equal(t, f.runs(a.header.Get("X-Request-Id"))[0].CallerService, "booking")
}

// The settings named another service before a restarted node had heard from its target. The
// process that a health check found got the requests of the earlier service.
func TestServiceOfAnUnreportedTargetFollowsTheSettings(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	v := f.vms[2]
	v.node.Stop()
	v.target.Stop()
	f.restartNode(v)
	settings := v.settings
	settings.Self.Service = "search"
	v.node.Apply(settings)
	next := f.replaceTarget(v, "i-next", "search")
	f.assertRunsNothing(next)
	f.waitFor("the target serves its service without a heartbeat", func() bool {
		f.send(0, "GET", "/look/1", key)
		return len(next.Runs()) > 0
	})
}

// While a restarted node knew a target by its health check alone, the settings named
// another service. Whether the process is of that service, only its heartbeat can say.
func TestSettingsDoNotMoveARunningTarget(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	v := f.vms[2]
	v.node.Stop()
	f.restartNode(v)
	f.waitFor("the target is used again", func() bool { return f.send(0, "POST", "/book/1", key).status == 200 })
	settings := v.settings
	settings.Self.Service = "search"
	v.node.Apply(settings)
	before := len(v.target.Runs())
	for end := time.Now().Add(800 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		f.send(2, "POST", "/book/1", key)
		f.send(2, "GET", "/look/1", key)
	}
	for _, run := range v.target.Runs()[before:] {
		assert.Assert(t, run.URI != "/look/1", "%+v", run)
	}
	assert.NilError(t, v.target.SendHeartbeat(v.settings.HeartbeatAddress, "ready", 0))
	f.waitFor("the target is used after its heartbeat", func() bool { return f.send(0, "POST", "/book/1", key).status == 200 })
}

// A health check of an address that went to a target with another health check path ran
// there as a request that no caller had sent.
func TestHealthCheckRunsAtNoOtherTarget(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	v := f.vms[2]
	f.stopTarget(v)
	next := &plat.Target{ID: "i-next", Service: "search", HealthPath: "/health/search", Zone: v.target.Zone, Slots: 20, ServiceTime: time.Millisecond}
	assert.NilError(t, next.StartAt(v.target.Address))
	t.Cleanup(next.Stop)
	f.assertRunsNothing(next)
	assert.NilError(t, next.SendHeartbeat(v.settings.HeartbeatAddress, "ready", 0))
	f.waitFor("the new target is used", func() bool {
		f.send(0, "GET", "/look/1", key)
		return len(next.Runs()) > 0
	})
}

// Soon after the start of a node its target started again, and the first heartbeat of the
// new process was not enough to use it, although it cannot have told an earlier process of
// the node that it leaves.
func TestRestartedTargetIsUsedWithItsFirstHeartbeat(t *testing.T) {
	t.Parallel()
	for _, id := range []string{"i-vm-2", "i-next"} {
		t.Run(id, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			v := f.vms[2]
			v.target.Stop()
			time.Sleep(5 * time.Millisecond)
			next := &plat.Target{ID: id, Service: "booking", Zone: v.target.Zone, Slots: 20, ServiceTime: time.Millisecond}
			assert.NilError(t, next.StartAt(v.target.Address))
			t.Cleanup(next.Stop)
			next.SetHealthStatus(http.StatusServiceUnavailable)
			assert.NilError(t, next.SendHeartbeat(v.settings.HeartbeatAddress, "ready", 0))
			// Its own node takes up a new ID with its next broadcast.
			time.Sleep(500 * time.Millisecond)
			assert.Equal(t, f.send(2, "POST", "/book/1", key).status, http.StatusOK)
		})
	}
}
