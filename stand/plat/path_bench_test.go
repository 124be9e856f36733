package plat_test

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkForwardedCall measures a nested call from the VM of one target to another
// target, with the caller, both nodes and the target in this process.
func BenchmarkForwardedCall(b *testing.B) {
	f := newFleet(b)
	f.vms[2].target.ServiceTime = 0
	r, err := http.NewRequest(http.MethodGet, "http://"+f.vms[0].settings.CallerAddress+"/inner/1", http.NoBody)
	assert.NilError(b, err)
	r.Host = host
	r.Header.Set("X-Request-Id", "r1")
	r.Header.Set("X-Deadline-Milliseconds", "4000")
	for b.Loop() {
		response, err := http.DefaultTransport.RoundTrip(r)
		assert.NilError(b, err)
		assert.Equal(b, response.StatusCode, http.StatusOK)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}
