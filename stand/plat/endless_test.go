package plat_test

import (
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/stand/plat"
)

// A faulty target sends a header or a body without end. Its node gives up on the header
// at once, and on the body at the deadline; the caller gets no complete answer, and the
// nodes hold little of what is sent.
func TestAnswersWithoutEndAreNotDelivered(t *testing.T) {
	f := newFleet(t)
	for _, fault := range []plat.TargetFault{plat.TargetEndlessHead, plat.TargetEndlessBody} {
		t.Run(string(fault), func(t *testing.T) {
			f.vms[2].target.SetFault(fault)
			defer f.vms[2].target.SetFault(plat.TargetHealthy)
			var requests sync.WaitGroup
			for range 8 {
				requests.Go(func() {
					start := time.Now()
					a := f.sendWith(0, "POST", "/book/1", func(r *http.Request) {
						r.Header.Set("X-Key", key)
						r.Header.Set("X-Deadline-Milliseconds", "1500")
					})
					// A target without responses counts as in doubt after a while.
					isRefused := a.status == 503 && len(f.runs(a.header.Get("X-Request-Id"))) == 0
					assert.Check(t, a.status == 0 || a.status == 502 || a.status == 504 || isRefused, "%d", a.status)
					assert.Check(t, time.Since(start) < 2*time.Second, "%s", time.Since(start))
				})
			}
			assert.Assert(t, maxHeapUntil(&requests) < 100<<20)
		})
	}
	f.waitFor("the node serves requests again", func() bool { return f.send(0, "POST", "/book/1", key).status == 200 })
}

// maxHeapUntil returns the largest number of live bytes of the heap until the requests
// have ended. The caller of this test reads the answers without storing them.
func maxHeapUntil(requests *sync.WaitGroup) uint64 {
	done := make(chan struct{})
	go func() {
		requests.Wait()
		close(done)
	}()
	most := uint64(0)
	for {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		most = max(most, m.HeapInuse)
		select {
		case <-done:
			return most
		case <-time.After(50 * time.Millisecond):
		}
	}
}
