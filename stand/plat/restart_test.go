package plat_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/platform/node"
	"github.com/greengagewind/greengagewind/stand/plat"
)

// restartNode starts a new process of a stopped node. Its target sends it no heartbeat.
func (f *fleet) restartNode(v *vm) {
	n, err := node.Start(v.settings, newLogger(f.t, v.settings.Self.VM))
	assert.NilError(f.t, err)
	v.node = n
}

// assertNoRuns sends requests to the service "booking" for a while and asserts that none
// of them runs.
func (f *fleet) assertNoRuns() {
	f.t.Helper()
	for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		a := f.send(0, "POST", "/book/1", key)
		assert.Equal(f.t, a.status, 503)
		assert.Equal(f.t, len(f.runs(a.header.Get("X-Request-Id"))), 0)
	}
}

// A target says that it leaves, and the process of its node restarts before the target
// has ended. The new process must not use the target again.
func TestRestartedNodeDoesNotUseATargetThatHasLeft(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"Deregistered", "Draining"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			v := f.vms[2]
			if how == "Draining" {
				assert.NilError(t, v.target.SendHeartbeat(v.settings.HeartbeatAddress, "draining", 0))
			} else {
				assert.NilError(t, v.target.Deregister(v.settings.HeartbeatAddress))
			}
			v.node.Stop()
			f.restartNode(v)
			f.assertNoRuns()
		})
	}
}

// A target says that it leaves to a process of its node that has restarted and heard
// nothing of the target. Its health check lies.
func TestRestartedNodeHeedsADeparture(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	v := f.vms[2]
	v.node.Stop()
	f.restartNode(v)
	id := v.target.ID
	request, err := http.NewRequest(http.MethodDelete, "http://"+v.settings.HeartbeatAddress+"/-/instances/"+id, strings.NewReader(""))
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, 200)
	f.assertNoRuns()
	assert.NilError(t, v.target.Restart())
	assert.NilError(t, v.target.SendHeartbeat(v.settings.HeartbeatAddress, "ready", 0))
	f.waitFor("the next process of the target is used", func() bool { return f.send(0, "POST", "/book/1", key).status == 200 })
}

// A healthy target is used soon after its node has restarted, before it sends the next
// heartbeat.
func TestRestartedNodeUsesAHealthyTarget(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	v := f.vms[2]
	v.node.Stop()
	start := time.Now()
	f.restartNode(v)
	f.waitFor("the target is used again", func() bool { return f.send(0, "POST", "/book/1", key).status == 200 })
	t.Logf("used again after %s", time.Since(start))
}

// A node that restarts at its address does not write to the store, and finds the others
// there. A node of another address replaces the old one.
func TestRestartedNodeKeepsItsRegistration(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	v := f.vms[2]
	registered := f.registration(v)
	v.node.Stop()
	f.restartNode(v)
	f.waitFor("the target is used again", func() bool { return f.send(0, "POST", "/book/1", key).status == 200 })
	assert.DeepEqual(t, f.registration(v), registered)
	v.node.Stop()
	v.settings.Self.PeerAddress = strings.Replace(v.settings.Self.PeerAddress, ":7000", ":7002", 1)
	f.restartNode(v)
	f.waitFor("the target is used at the new address", func() bool { return f.send(0, "POST", "/book/1", key).status == 200 })
	assert.Assert(t, f.registration(v).Revision > registered.Revision)
}

// registration returns the item of a node in the store.
func (f *fleet) registration(v *vm) plat.Item {
	f.t.Helper()
	response, err := http.Get("http://" + f.storeAddress + "/-/kv-key?key=gage/nodes/" + v.settings.Self.VM)
	assert.NilError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	var item plat.Item
	assert.NilError(f.t, json.NewDecoder(response.Body).Decode(&item))
	return item
}

// lateHeartbeat returns a function that delivers a heartbeat of a target which is sent now.
func (f *fleet) lateHeartbeat(v *vm) func() {
	f.t.Helper()
	body, err := v.target.Heartbeat("ready", 0)
	assert.NilError(f.t, err)
	return func() { assert.NilError(f.t, v.target.Announce(http.MethodPut, v.settings.HeartbeatAddress, body)) }
}

// A target said that it leaves and its node was killed. A heartbeat from before arrived at
// the next process of the node, which used the target again until it ended. Neither the
// store nor other nodes may be there to tell.
func TestLateHeartbeatBringsNoTargetBackAfterARestart(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"Deregistered", "Draining"} {
		for _, isAlone := range []bool{false, true} {
			t.Run(fmt.Sprint(how, " alone ", isAlone), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t)
				v := f.vms[2]
				arrive := f.lateHeartbeat(v)
				if how == "Draining" {
					assert.NilError(t, v.target.SendHeartbeat(v.settings.HeartbeatAddress, "draining", 0))
				} else {
					assert.NilError(t, v.target.Deregister(v.settings.HeartbeatAddress))
				}
				v.node.Kill()
				if isAlone {
					f.restartAll()
				} else {
					f.restartNode(v)
				}
				f.assertNotUsed(v.target)
				arrive()
				f.assertNotUsed(v.target)
			})
		}
	}
}

// assertNotUsed sends requests to the service "booking" for a while and asserts that no
// more of them reach a target. Right after a restart of all nodes, some are refused for
// the rate of their workspace.
func (f *fleet) assertNotUsed(target *plat.Target) {
	f.t.Helper()
	before := len(target.Arrivals())
	for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		status := f.send(0, "POST", "/book/1", key).status
		assert.Assert(f.t, status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests, "%d", status)
	}
	assert.Equal(f.t, len(target.Arrivals()), before)
}

// restartAll kills the nodes of all VMs at once and starts new processes.
func (f *fleet) restartAll() {
	for _, v := range f.vms {
		v.node.Kill()
	}
	// The callers' connections ended with the nodes.
	http.DefaultClient.CloseIdleConnections()
	for _, v := range f.vms {
		f.restartNode(v)
	}
}

// A process of a target that its node had not heard of said that it leaves. A heartbeat
// that it had sent before then brought it into service.
func TestLateHeartbeatBringsNoUnknownTargetIntoService(t *testing.T) {
	t.Parallel()
	for _, id := range []string{"i-vm-2", "i-next"} {
		t.Run(id, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			v := f.vms[2]
			next := f.replaceTarget(v, id, "booking")
			body, err := next.Heartbeat("ready", 0)
			assert.NilError(t, err)
			assert.NilError(t, next.Deregister(v.settings.HeartbeatAddress))
			assert.NilError(t, next.Announce(http.MethodPut, v.settings.HeartbeatAddress, body))
			before := len(next.Runs())
			f.assertNoRuns()
			assert.Equal(t, len(next.Runs()), before)
		})
	}
}

// A restarted node found its target unhealthy, although the target had not said that it
// leaves: its health checks lie. Its heartbeats bring it back, once they cannot be older
// than the node.
func TestRestartedNodeUsesATargetThatGoesOnReporting(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	v := f.vms[2]
	v.target.SetHealthStatus(http.StatusServiceUnavailable)
	v.node.Kill()
	f.restartNode(v)
	start := time.Now()
	f.waitFor("the target is used again", func() bool {
		assert.NilError(t, v.target.SendHeartbeat(v.settings.HeartbeatAddress, "ready", 0))
		return f.send(0, "POST", "/book/1", key).status == 200
	})
	assert.Assert(t, time.Since(start) > 5*time.Second, "%s", time.Since(start))
}
