package plat_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// coldAllowed is the most requests that a cold target of newFleet may get in a second.
const coldAllowed = 20*3/2 + 5

// reopenCold takes the zone of the target of the service "booking" out of service and back,
// and makes the target cold for the time coldFor meanwhile. It returns functions that
// deliver heartbeats which the target sent before it was cold, and when the zone returned.
func (f *fleet) reopenCold(coldFor time.Duration, heartbeats int) (late []func(), reopenedAt time.Time) {
	f.t.Helper()
	v := f.vms[2]
	f.store.Put("op/evacuate/zone-0", []byte("{}"))
	f.waitForAll("the zone gets no requests", func(i int) bool { return f.send(i, "POST", "/book/1", key).status == 503 })
	for range heartbeats {
		late = append(late, f.lateHeartbeat(v))
	}
	v.target.TurnCold(coldFor)
	reopenedAt = time.Now()
	f.store.Remove("op/evacuate/zone-0")
	return late, reopenedAt
}

// A target was cold when its zone returned to service, as its health check said. A late
// heartbeat from before then made it count as warm.
func TestLateHeartbeatShortensNoColdTime(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	v := f.vms[2]
	late, _ := f.reopenCold(8*time.Second, 1)
	f.waitFor("the target is used", func() bool { return f.send(0, "GET", "/inner/1", "").status == 200 })
	late[0]()
	start := time.Now()
	f.sendSteadily(150, 3*time.Second)
	most := mostArrivals(v.target, start, time.Second)
	assert.Assert(t, most <= coldAllowed, "%d in 1 s", most)
}

// The late heartbeat arrived while the health check was on its way, and the target got
// requests as a warm one.
func TestLateHeartbeatForestallsNoHealthCheck(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	v := f.vms[2]
	v.target.SetHealthDelay(400 * time.Millisecond)
	late, start := f.reopenCold(8*time.Second, 30)
	for _, arrive := range late {
		arrive()
		f.sendSteadily(300, 100*time.Millisecond)
	}
	most := mostArrivals(v.target, start, time.Second)
	assert.Assert(t, most <= coldAllowed, "%d in 1 s", most)
}

// A heartbeat that says that the target is cold again arrived while a health check from
// before then was on its way, whose response made the target count as warm.
func TestHealthCheckShortensNoColdTimeLearnedSince(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	v := f.vms[2]
	f.reopenCold(0, 0)
	f.waitFor("the target is used", func() bool { return f.send(0, "GET", "/inner/1", "").status == 200 })
	v.target.SetHealthDelay(400 * time.Millisecond)
	v.node.Kill()
	f.restartNode(v)
	time.Sleep(150 * time.Millisecond)
	assert.NilError(t, v.target.SendHeartbeat(v.settings.HeartbeatAddress, "ready", 8*time.Second))
	f.waitFor("the target is used again", func() bool { return f.send(0, "GET", "/inner/1", "").status == 200 })
	start := time.Now()
	f.sendSteadily(150, 2*time.Second)
	most := mostArrivals(v.target, start, time.Second)
	assert.Assert(t, most <= coldAllowed, "%d in 1 s", most)
}

// A health check named a cold time that is no number, and the target counted as warm.
func TestUnreadableColdTimeIsNoWarmTarget(t *testing.T) {
	t.Parallel()
	for _, value := range []string{"soon", "-1", "NaN", "Inf", "1e300"} {
		t.Run(value, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			v := f.vms[2]
			v.target.TurnCold(time.Minute)
			v.target.SetHeader("X-Cold-Milliseconds", value)
			v.node.Kill()
			f.restartNode(v)
			f.assertNoRuns()
			v.target.SetHeader("X-Cold-Milliseconds", "0")
			f.waitFor("the target is used", func() bool { return f.send(0, "GET", "/inner/1", "").status == 200 })
		})
	}
}
