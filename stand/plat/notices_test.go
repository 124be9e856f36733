package plat_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/stand/plat"
)

// sendSteadily sends requests for the service "booking" to all nodes in turn, rate a
// second, for a time. It returns how many were answered with 200.
func (f *fleet) sendSteadily(rate int, d time.Duration) int {
	var mu sync.Mutex
	var running sync.WaitGroup
	served := 0
	interval := time.Second / time.Duration(rate)
	start := time.Now()
	for i := 0; time.Duration(i)*interval < d; i++ {
		time.Sleep(time.Until(start.Add(time.Duration(i) * interval)))
		running.Go(func() {
			if f.send(i%len(f.vms), "GET", "/inner/1", "").status == 200 {
				mu.Lock()
				defer mu.Unlock()
				served++
			}
		})
	}
	running.Wait()
	return served
}

// mostArrivals returns the most requests that reached a target after a time within any
// interval of the given length.
func mostArrivals(target *plat.Target, after time.Time, interval time.Duration) int {
	arrivals := target.Arrivals()
	most := 0
	for i := range arrivals {
		if arrivals[i].At.Before(after) {
			continue
		}
		n := 0
		for j := i; j < len(arrivals) && arrivals[j].At.Sub(arrivals[i].At) < interval; j++ {
			n++
		}
		most = max(most, n)
	}
	return most
}

// A target got far more requests than the limit that it names in its responses. The limit
// is for the requests of all nodes together, and ends when the target no longer names it.
func TestTargetGetsNoMoreThanTheLimitThatItNames(t *testing.T) {
	t.Parallel()
	const limit, demand, window = 30, 150, 4 * time.Second
	f := newFleet(t)
	booking := f.vms[2].target
	booking.SetHeader("Server-Limit", "30.0")
	assert.Equal(t, f.send(0, "GET", "/inner/1", "").status, 200)
	named := time.Now()
	served := f.sendSteadily(demand, 6*time.Second)
	most := mostArrivals(booking, named, window)
	assert.Assert(t, most <= limit*4*3/2+5, "%d in 4 s", most)
	assert.Assert(t, served > limit*6*8/10, "%d served in 6 s", served)

	booking.SetHeader("Server-Limit")
	f.waitFor("the limit ends", func() bool { return f.sendSteadily(demand, 200*time.Millisecond) >= demand/5*9/10 })
}

// rateLimitHold is longer than a request and the time for which a limit is kept without a
// response that names it.
const rateLimitHold = 1200 * time.Millisecond

// slowLimit is the limit of the target of newSlowFleet, in requests per second.
const slowLimit = 5

// newSlowFleet returns a fleet whose target of the service "booking" takes 0.5 s for a
// request, and has named the limit slowLimit to the first two nodes.
func newSlowFleet(t *testing.T) *fleet {
	f := newFleet(t)
	v := f.vms[2]
	v.target.Stop()
	v.target.ServiceTime, v.target.Slots = 500*time.Millisecond, 100
	v.target.SetHeader("Server-Limit", strconv.Itoa(slowLimit))
	time.Sleep(5 * time.Millisecond)
	assert.NilError(t, v.target.Restart())
	assert.NilError(t, v.target.SendHeartbeat(v.settings.HeartbeatAddress, "ready", 0))
	for i := range 2 {
		f.waitFor("each node has passed on the limit", func() bool { return f.send(i, "GET", "/inner/1", "").header.Get("Server-Limit") != "" })
	}
	return f
}

// assertSlowLimit sends 200 requests a second to the first two nodes for 4 s and asserts
// that the limit slowLimit holds and is used. It calls disturb 1 s and 2.5 s after the
// start.
func (f *fleet) assertSlowLimit(disturb func()) {
	const interval, window = 5 * time.Millisecond, 4 * time.Second
	start := time.Now()
	disturbances := []time.Time{start.Add(time.Second), start.Add(2500 * time.Millisecond)}
	var running sync.WaitGroup
	for i := 0; time.Since(start) < window; i++ {
		time.Sleep(time.Until(start.Add(time.Duration(i) * interval)))
		if len(disturbances) > 0 && time.Now().After(disturbances[0]) {
			disturbances = disturbances[1:]
			disturb()
		}
		running.Go(func() { f.send(i%2, "GET", "/inner/1", "") })
	}
	running.Wait()
	most := mostArrivals(f.vms[2].target, start, window)
	assert.Assert(f.t, most <= slowLimit*4*3/2+5, "%d in 4 s", most)
	assert.Assert(f.t, most >= slowLimit*4/2, "%d in 4 s", most)
}

// A target got more requests than the limit that it names after the node beside it had
// restarted: that node did not know the limit until the target's first response.
func TestLimitHoldsWhenTheTargetsNodeRestarts(t *testing.T) {
	t.Parallel()
	f := newSlowFleet(t)
	v := f.vms[2]
	f.assertSlowLimit(func() {
		v.node.Kill()
		f.restartNode(v)
		assert.NilError(t, v.target.SendHeartbeat(v.settings.HeartbeatAddress, "ready", 0))
	})
}

// A health check that did not name the target's limit ended it: the target got more than
// the limit after its zone had returned to service.
func TestHealthCheckEndsNoLimit(t *testing.T) {
	t.Parallel()
	f := newSlowFleet(t)
	f.vms[2].target.SetPlainHealth(true)
	f.assertSlowLimit(sync.OnceFunc(func() {
		f.store.Put("op/evacuate/zone-0", []byte("{}"))
		f.waitFor("the zone gets no requests", func() bool { return f.send(2, "POST", "/book/1", key).status == 503 })
		time.Sleep(rateLimitHold)
		f.store.Remove("op/evacuate/zone-0")
	}))
}

// Requests beyond a target's limit are refused as not run, with a time to come back, and
// soon, since it is known that their wait would be in vain.
func TestRequestsBeyondTheLimitAreRefusedSoon(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	booking := f.vms[2].target
	booking.SetHeader("Server-Limit", "2")
	assert.Equal(t, f.send(0, "POST", "/book/1", key).status, 200)
	var mu sync.Mutex
	var running sync.WaitGroup
	refused := 0
	for i := range 40 {
		running.Go(func() {
			a := f.send(i%3, "POST", "/book/1", key)
			mu.Lock()
			defer mu.Unlock()
			if a.status == 200 {
				return
			}
			refused++
			assert.Check(t, a.status == 503 && a.header.Get("Retry-After") != "", "%d", a.status)
			assert.Check(t, len(f.runs(a.header.Get("X-Request-Id"))) == 0)
		})
	}
	running.Wait()
	assert.Assert(t, refused >= 30, "%d", refused)
}

// mayRunManyAtOnce reports whether the service "booking" serves many requests that are
// sent within a moment.
func (f *fleet) mayRunManyAtOnce() bool {
	const requests = 60
	var running sync.WaitGroup
	served := make(chan struct{}, requests)
	for range requests {
		running.Go(func() {
			a := f.sendWith(2, "GET", "/inner/1", func(r *http.Request) { r.Header.Set("X-Deadline-Milliseconds", "1000") })
			if a.status == 200 {
				served <- struct{}{}
			}
		})
	}
	running.Wait()
	return len(served) == requests
}

func TestValuesOfALimit(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		values    []string
		isLimited bool
	}{
		"number":                    {[]string{"4"}, true},
		"decimal number":            {[]string{" 4.50 "}, true},
		"zero":                      {[]string{"0"}, true},
		"negative":                  {[]string{"-4"}, false},
		"text":                      {[]string{"many"}, false},
		"empty":                     {[]string{""}, false},
		"no number":                 {[]string{"NaN"}, false},
		"infinite":                  {[]string{"Inf"}, false},
		"beyond what a float holds": {[]string{"1e999"}, false},
		"huge":                      {[]string{"1e300"}, false},
		"two headers":               {[]string{"4000", "4"}, true},
		"two numbers":               {[]string{"4000, 4"}, true},
		"one of two cannot be read": {[]string{"x", "4"}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			f.vms[2].target.SetHeader("Server-Limit", c.values...)
			assert.Equal(t, f.send(2, "GET", "/inner/1", "").status, 200)
			assert.Equal(t, f.mayRunManyAtOnce(), !c.isLimited)
		})
	}
}

// The limit of one target process does not hold for the next one at its address.
func TestRestartedTargetHasNoLimit(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	v := f.vms[2]
	v.target.SetHeader("Server-Limit", "1")
	assert.Equal(t, f.send(2, "GET", "/inner/1", "").status, 200)
	assert.Assert(t, !f.mayRunManyAtOnce())
	v.target.SetHeader("Server-Limit")
	time.Sleep(5 * time.Millisecond)
	assert.NilError(t, v.target.Restart())
	assert.NilError(t, v.target.SendHeartbeat(v.settings.HeartbeatAddress, "ready", 0))
	assert.Assert(t, f.mayRunManyAtOnce())
}

// A response of another process, which did not run the request, limits nothing, and says
// nothing about the target's leaving.
func TestNoticesOfAnotherProcessAreIgnored(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	v := f.vms[2]
	v.target.Stop()
	other := &plat.Target{ID: "i-other", Service: "search", Slots: 20, ServiceTime: time.Millisecond}
	assert.NilError(t, other.StartAt(v.target.Address))
	other.SetHeader("Server-Limit", "1")
	other.SetHeader("Server-Leaving", "1")
	for range 5 {
		assert.Equal(t, f.send(2, "GET", "/inner/1", "").status, 503)
	}
	other.Stop()
	time.Sleep(5 * time.Millisecond)
	assert.NilError(t, v.target.Restart())
	f.waitFor("the target serves again", func() bool { return f.send(2, "GET", "/inner/1", "").status == 200 })
	f.waitFor("many requests run", f.mayRunManyAtOnce)
}

// leavingDelay is the time within which a target that has said that it leaves must get no
// more requests.
const leavingDelay = time.Second

// assertNoArrivals sends requests of the service "booking" to the first two nodes for a
// while, from leavingDelay on, and asserts that none reaches the target.
func (f *fleet) assertNoArrivals(target *plat.Target) {
	f.t.Helper()
	time.Sleep(leavingDelay)
	before := len(target.Arrivals())
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for i := range 2 {
			assert.Equal(f.t, f.send(i, "GET", "/inner/1", "").status, 503)
		}
	}
	assert.Equal(f.t, len(target.Arrivals()), before)
}

// A target that said in its responses that it leaves got requests: no heartbeat had told,
// or one that was sent earlier came later.
func TestTargetThatSaysItLeavesGetsNoRequests(t *testing.T) {
	t.Parallel()
	for _, isStoreDown := range []bool{false, true} {
		t.Run(fmt.Sprint("store down ", isStoreDown), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			v := f.vms[2]
			if isStoreDown {
				f.store.SetFault(plat.StoreUnavailable)
			}
			v.target.SetHeader("Server-Leaving", "1")
			assert.Equal(t, f.send(0, "GET", "/inner/1", "").status, 200)
			assert.NilError(t, v.target.SendHeartbeat(v.settings.HeartbeatAddress, "ready", 0))
			f.assertNoArrivals(v.target)
		})
	}
}

// A target that had said to a caller's node that it leaves got requests from there again
// after the node beside the target had restarted.
func TestLeavingIsRememberedWhenTheTargetsNodeRestarts(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	v := f.vms[2]
	v.target.SetHeader("Server-Leaving", "1")
	for i := range 2 {
		f.waitFor("each node has passed on a notice, or knows of the leaving", func() bool {
			a := f.send(i, "GET", "/inner/1", "")
			return a.header.Get("Server-Leaving") != "" || a.status == 503
		})
	}
	// The new process hears nothing of the leaving by itself.
	v.target.SetHeader("Server-Leaving")
	v.node.Kill()
	f.restartNode(v)
	assert.NilError(t, v.target.SendHeartbeat(v.settings.HeartbeatAddress, "ready", 0))
	time.Sleep(leavingDelay)
	before := len(v.target.Arrivals())
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		assert.Equal(t, f.send(0, "GET", "/inner/1", "").status, 503)
	}
	assert.Equal(t, len(v.target.Arrivals()), before)

	assert.NilError(t, v.target.Restart())
	assert.NilError(t, v.target.SendHeartbeat(v.settings.HeartbeatAddress, "ready", 0))
	f.waitFor("a new process of the target is used", func() bool { return f.send(0, "GET", "/inner/1", "").status == 200 })
}
