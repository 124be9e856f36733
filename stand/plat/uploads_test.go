package plat_test

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/stand/plat"
)

const uploadPath = "/photo/1"

// newUploadFleet returns a fleet with a route for uploads to service "booking".
func newUploadFleet(t *testing.T) *fleet {
	t.Helper()
	f := newEmptyFleet(t)
	f.routes = append(f.routes, route("photo", "/photo/", "upload", "booking", false), route("odd", "/odd/", "sideways", "booking", false))
	f.applyConfig()
	for _, service := range []string{"search", "search", "booking"} {
		f.addVM(service)
	}
	f.waitForAll("every node serves uploads", func(i int) bool { return f.upload(i, strings.NewReader("photo"), 5).status == 200 })
	return f
}

func (f *fleet) upload(i int, body io.Reader, length int64) answer {
	return f.sendWith(i, "POST", uploadPath, func(r *http.Request) {
		r.Header.Set("X-Key", key)
		r.Body, r.ContentLength = io.NopCloser(body), length
	})
}

// randomBytes returns a reader of n bytes that is read in small pieces.
func randomBytes(n int64) io.Reader {
	return io.LimitReader(iotest.HalfReader(rand.NewChaCha8([32]byte{1})), n)
}

func TestUploadsRunOnceWithTheirWholeBody(t *testing.T) {
	t.Parallel()
	f := newUploadFleet(t)
	for _, size := range []int64{0, 1, 100 << 10, 128 << 10, 128<<10 + 1, 1 << 20} {
		for _, length := range []int64{size, -1} {
			t.Run(fmt.Sprintf("%d bytes, length %d", size, length), func(t *testing.T) {
				a := f.upload(0, randomBytes(size), length)
				assert.Equal(t, a.status, 200)
				runs := f.runs(a.header.Get("X-Request-Id"))
				assert.Equal(t, len(runs), 1)
				assert.Equal(t, runs[0].BodyBytes, int(size))
			})
		}
	}
}

func TestUploadsBeyondTheLimitAreRefused(t *testing.T) {
	t.Parallel()
	f := newUploadFleet(t)
	const tooLong = 1<<20 + 1
	runsBefore := f.totalRuns()
	for _, length := range []int64{tooLong, -1} {
		start := time.Now()
		assert.Equal(t, f.upload(0, randomBytes(tooLong), length).status, 413, "length %d", length)
		assert.Assert(t, time.Since(start) < 3*time.Second, "length %d: %s", length, time.Since(start))
	}
	assert.Equal(t, f.totalRuns(), runsBefore)
}

// A caller who sends the beginning of a body and then nothing gets an answer at its
// deadline, and occupies the target no longer.
func TestStalledUploadEndsAtItsDeadline(t *testing.T) {
	t.Parallel()
	f := newUploadFleet(t)
	for sent, wantStatus := range map[int64]int{10: 408, 400 << 10: 504} {
		t.Run(fmt.Sprintf("%d bytes sent", sent), func(t *testing.T) {
			runsBefore := f.totalRuns()
			status, took := stalledUpload(t, f, sent)
			assert.Equal(t, status, wantStatus)
			assert.Assert(t, took > 500*time.Millisecond && took < 1200*time.Millisecond, "%s", took)
			assert.Equal(t, f.totalRuns(), runsBefore)
			assert.Equal(t, f.upload(0, strings.NewReader("photo"), 5).status, 200)
		})
	}
}

// stalledUpload sends the head of an upload of 500 KB with a deadline of 800 ms, and
// only the first sent bytes of its body.
func stalledUpload(t *testing.T, f *fleet, sent int64) (status int, took time.Duration) {
	t.Helper()
	c, err := net.Dial("tcp", f.vms[0].settings.CallerAddress)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	start := time.Now()
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: stalled-%d\r\nX-Key: %s\r\nX-Deadline-Milliseconds: 800\r\nContent-Length: 512000\r\n\r\n", uploadPath, host, sent, key)
	assert.NilError(t, err)
	_, err = io.Copy(c, randomBytes(sent))
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(start.Add(settleTimeout)))
	text := make([]byte, len("HTTP/1.1 000"))
	_, err = io.ReadFull(c, text)
	assert.NilError(t, err)
	_, err = fmt.Sscanf(string(text), "HTTP/1.1 %d", &status)
	assert.NilError(t, err)
	return status, time.Since(start)
}

// A body that breaks off reaches the target as an incomplete one, so that it does not
// run.
func TestBrokenUploadDoesNotRun(t *testing.T) {
	t.Parallel()
	f := newUploadFleet(t)
	runsBefore := f.totalRuns()
	for _, length := range []int64{500 << 10, -1} {
		broken := io.MultiReader(randomBytes(300<<10), iotest.ErrReader(errors.New("the caller broke off")))
		assert.Equal(t, f.upload(0, broken, length).status, 0)
	}
	assert.Equal(t, f.upload(0, strings.NewReader("photo"), 5).status, 200)
	assert.Equal(t, f.totalRuns(), runsBefore+1)
}

// A target that rejects an upload before it has read the body leaves the rest of the
// body unread. The caller gets an answer at once, and later requests get their own.
func TestRejectedUploadIsAnsweredBeforeItsBodyHasArrived(t *testing.T) {
	t.Parallel()
	f := newUploadFleet(t)
	f.vms[2].target.SetFault(plat.TargetRejectsEarly)
	body, writer := io.Pipe()
	defer func() { _ = writer.Close() }()
	go func() { _, _ = io.Copy(writer, randomBytes(400<<10)) }()
	start := time.Now()
	a := f.upload(0, body, 700<<10)
	assert.Equal(t, a.status, 503)
	assert.Assert(t, time.Since(start) < 2*time.Second, "%s", time.Since(start))
	f.vms[2].target.SetFault(plat.TargetHealthy)
	for range 20 {
		a := f.upload(0, strings.NewReader("photo"), 5)
		assert.Equal(t, a.status, 200)
		assert.Equal(t, a.body, "answer to "+a.header.Get("X-Request-Id"))
	}
}

// A route of an unknown kind is refused; the rest of the configuration is in force.
func TestRouteOfUnknownKindIsRefused(t *testing.T) {
	t.Parallel()
	f := newUploadFleet(t)
	runsBefore := f.totalRuns()
	a := f.send(0, "POST", "/odd/1", key)
	assert.Equal(t, a.status, 503)
	assert.Assert(t, a.header.Get("Retry-After") != "")
	assert.Equal(t, f.totalRuns(), runsBefore)
}
