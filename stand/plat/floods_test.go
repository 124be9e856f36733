package plat_test

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// nodeMemory is the memory of the smallest VM that a node is made for, in bytes.
const nodeMemory = 184 << 20

// distinctLines returns header lines with different names, as short as can be.
func distinctLines() string {
	var lines strings.Builder
	for i := range 1 << 14 {
		fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	return lines.String()
}

// collectOften keeps the heap of the test process close to its live part.
func collectOften(t *testing.T) {
	const gcPercent = 20
	before := debug.SetGCPercent(gcPercent)
	t.Cleanup(func() { debug.SetGCPercent(before) })
}

// A faulty target answers many requests at once with bytes that do not end. The nodes hold
// what fits the memory of one VM, all three of them together, and serve requests to other
// targets meanwhile.
func TestManyAnswersWithoutEndFitTheMemory(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nX-Response-Signature: signed\r\n"
	cases := map[string]struct{ head, repeated string }{
		"status line":     {"HTTP/1.1 200 ", "O"},
		"header line":     {ok + "X-Long: ", "x"},
		"header lines":    {ok, distinctLines()},
		"interim":         {"", "HTTP/1.1 100 Continue\r\nA: b\r\n\r\n"},
		"body":            {ok + "X-Request-Id: {id}\r\n\r\n", "x"},
		"chunk size":      {ok + "X-Request-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"chunk extension": {ok + "X-Request-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
		"trailer":         {ok + "X-Request-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", distinctLines()},
		"failure":         {"HTTP/1.1 500 Internal Server Error\r\nX-Response-Signature: signed\r\nX-Request-Id: {id}\r\n\r\n", "x"},
	}
	const requests = 100
	collectOften(t)
	f := newFleetOf(t, nodeMemory, "search", "search", "booking")
	f.keptBytes = 4 << 10
	v := f.vms[2]
	v.target.Slots = 2 * requests
	assert.NilError(t, v.target.SendHeartbeat(v.settings.HeartbeatAddress, "ready", 0))
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runtime.GC()
			v.target.SetRawResponse(c.head, c.repeated)
			defer v.target.SetRawResponse("", "")
			var running sync.WaitGroup
			for i := range requests {
				running.Go(func() {
					method, path := "POST", "/book/1"
					if i%2 == 0 {
						method, path = "GET", "/inner/1"
					}
					a := f.sendWith(i%3, method, path, func(r *http.Request) {
						r.Header.Set("X-Key", key)
						r.Header.Set("X-Deadline-Milliseconds", "1500")
					})
					isRefused := a.status == 503 && len(f.runs(a.header.Get("X-Request-Id"))) == 0
					assert.Check(t, a.status == 0 || a.status == 429 || a.status == 502 || a.status == 504 || isRefused, "%d, %d bytes", a.status, len(a.body))
				})
			}
			most := maxHeapUntil(&running)
			t.Logf("heap of at most %d MB", most>>20)
			assert.Assert(t, most < nodeMemory, "%d MB", most>>20)
			f.waitFor("requests are served again", func() bool {
				v.target.SetRawResponse("", "")
				return f.send(0, "POST", "/book/1", key).status == 200
			})
		})
	}
}

// Many health checks, one after the other, get an answer that does not end. The node goes
// on, and uses the target again.
func TestHealthChecksWithoutEnd(t *testing.T) {
	collectOften(t)
	f := newFleet(t)
	v := f.vms[2]
	v.target.SetRawResponse("HTTP/1.1 200 OK\r\nX-Instance-Id: i-vm-2\r\n", distinctLines())
	v.node.Kill()
	f.restartNode(v)
	var running sync.WaitGroup
	running.Go(func() { time.Sleep(3 * time.Second) })
	most := maxHeapUntil(&running)
	assert.Assert(t, most < nodeMemory, "%d MB", most>>20)
	assert.Equal(t, f.send(0, "POST", "/book/1", key).status, 503)
	v.target.SetRawResponse("", "")
	f.waitFor("the target is used again", func() bool { return f.send(0, "POST", "/book/1", key).status == 200 })
}

// Bodies that do not fit the memory of the node pass through it whole.
func TestBodiesBeyondTheMemoryAreWhole(t *testing.T) {
	t.Parallel()
	const callers, bodyBytes = 24, 100 << 10
	// Its buffers hold three bodies at most.
	f := newFleetOf(t, 2<<20, "search", "search", "booking")
	f.vms[2].target.Echo = true
	f.vms[2].target.ServiceTime = 100 * time.Millisecond
	var running sync.WaitGroup
	for i := range callers {
		running.Go(func() {
			text := strings.Repeat(fmt.Sprintf("%04d", i), bodyBytes/4)
			a := f.sendWith(i%3, "POST", "/book/1", func(r *http.Request) {
				r.Header.Set("X-Key", key)
				r.Body, r.ContentLength = io.NopCloser(strings.NewReader(text)), int64(len(text))
				if i%2 == 0 {
					r.ContentLength = -1
				}
			})
			assert.Check(t, a.status == 200, "%d", a.status)
			assert.Check(t, a.body == text)
		})
	}
	running.Wait()
}
