package crowd_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/stand/fleet"
	"github.com/greengagewind/greengagewind/stand/plat"
)

const (
	key  = "6wsjnbanfqasnmgkcuyj"
	host = "hulo84.example"
	// reservedDescriptors of the descriptors of a process are for files.
	reservedDescriptors = 200
	maxHeaderBytes      = 16 << 10
	maxBodyBytes        = 1 << 20
	// settleTimeout is the longest wait for the effect of a change.
	settleTimeout = 30 * time.Second
)

// limits are those of each process.
type limits struct {
	memoryMegabytes, descriptors int
}

// fewOfBoth are lower than those of a VM, so that a small crowd suffices. With manySockets,
// the memory binds first.
var (
	fewOfBoth   = limits{memoryMegabytes: 64, descriptors: 450}
	manySockets = limits{memoryMegabytes: 64, descriptors: 4100}
)

// The ports of a VM.
const (
	portPeers   = 7000
	portMetrics = 7001
	portCallers = 8548
	portReady   = 8546
	portReports = 8540
)

// vm is a VM with a node of the users' platform, and its target.
type vm struct {
	ip     string
	node   *fleet.Process
	target *plat.Target
}

func (v *vm) address(port int) string { return net.JoinHostPort(v.ip, strconv.Itoa(port)) }

// deployment is a store and VMs. The nodes are processes of their own, the store and the
// targets run in the process of the test.
type deployment struct {
	t        *testing.T
	limits   limits
	vms      []*vm
	requests atomic.Int64
}

// newDeployment starts a VM with a target of service "search" and one with a target of
// service "booking", and waits until both nodes serve requests for both.
func newDeployment(t *testing.T, l limits) *deployment {
	t.Helper()
	d := &deployment{t: t, limits: l}
	store := plat.NewStore()
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	store.Put("op/config", configuration(t))
	for i, service := range []string{"search", "booking"} {
		d.addVM(fmt.Sprintf("vm-%d", i), service, server.Listener.Addr().String())
	}
	d.waitServed()
	return d
}

func configuration(t *testing.T) []byte {
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "hostname": host, "prefix": prefix, "kind": kind, "timeout": "5000ms", "target_latency": "1200ms",
			"priority": 1, "service": service, "max_attempts": 2, "allow_anonymous": false,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_check_path": "/health", "max_connections": 1000, "cold_start": "0s", "cold_per_s": 0.0}
	}
	text, err := json.Marshal(map[string]any{
		"version":  1,
		"routes":   []any{route("look", "/look/", "idempotent", "search"), route("book", "/book/", "non_idempotent", "booking")},
		"services": []any{service("search"), service("booking")},
		"tenants":  []any{map[string]any{"name": "aurora", "api_keys": []string{key}, "priority": 1, "rate_per_s": 0, "burst": 0}},
		"limits":   map[string]any{"max_header_bytes": maxHeaderBytes, "max_body_bytes": maxBodyBytes, "header_timeout": "3s", "idle_timeout": "15s"},
	})
	assert.NilError(t, err)
	return text
}

// vmCount makes the loopback addresses of the VMs differ.
var vmCount atomic.Int64

func (d *deployment) addVM(name, service, storeAddress string) {
	d.t.Helper()
	const octets = 250
	v := &vm{ip: fmt.Sprintf("127.%d.%d.%d", 30+os.Getpid()%200, os.Getpid()/200%octets, 1+vmCount.Add(1)%octets)}
	v.target = &plat.Target{ID: "i-" + name, Service: service, Zone: "zone-0", Slots: 40, ServiceTime: time.Millisecond, Echo: true}
	assert.NilError(d.t, v.target.Start(v.ip))
	d.t.Cleanup(v.target.Stop)
	settings := fmt.Sprintf(`
node_name = %q
ip = %q
zone = "zone-0"
internal_ports = [%d, %d]
application = %q
service = %q
[listen]
outbound = %q
ready = %q
control = %q
[limits]
memory_mb = %d
file_descriptors = %d
[platform]
address = %q
form = "kv"
`, name, v.ip, portPeers, portMetrics, v.target.Address, service,
		v.address(portCallers), v.address(portReady), v.address(portReports), d.limits.memoryMegabytes, d.limits.descriptors, storeAddress)
	path := filepath.Join(d.t.TempDir(), "settings.toml")
	assert.NilError(d.t, os.WriteFile(path, []byte(settings), 0o600))
	v.node = start(d.t, name, build(d.t, "platform"), "--settings", path)
	d.vms = append(d.vms, v)
	d.waitFor("the node takes a heartbeat", func() bool {
		return v.target.SendHeartbeat(v.address(portReports), "ready", 0) == nil
	})
}

// waitServed waits until each node serves an ordinary request for each service.
func (d *deployment) waitServed() {
	d.t.Helper()
	for _, v := range d.vms {
		for _, path := range []string{"/look/1", "/book/1"} {
			d.waitFor("an ordinary request is served", func() bool { return d.isServed(v, path) })
		}
	}
}

// isServed reports whether an ordinary request is served.
func (d *deployment) isServed(v *vm, path string) bool { return d.ask(v, path) == "served" }

// ask sends an ordinary request and returns "served", the status of another response, or
// "no answer".
func (d *deployment) ask(v *vm, path string) string {
	const timeout = 4 * time.Second
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodPost, "http://"+v.address(portCallers)+path, strings.NewReader("ordinary"))
	assert.Check(d.t, err)
	r.Host = host
	r.Header.Set("X-Key", key)
	r.Header.Set("X-Request-Id", fmt.Sprintf("ordinary-%d", d.requests.Add(1)))
	r.Header.Set("X-Deadline-Milliseconds", strconv.FormatInt(timeout.Milliseconds(), 10))
	response, err := client.Do(r)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		return "no answer"
	case response.StatusCode == http.StatusOK && string(body) == "ordinary":
		return "served"
	}
	return response.Status
}

func (d *deployment) waitFor(what string, condition func() bool) {
	d.t.Helper()
	for end := time.Now().Add(settleTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		assert.Assert(d.t, time.Now().Before(end), "not within %s: %s", settleTimeout, what)
	}
}

func (d *deployment) processes() []*fleet.Process {
	var all []*fleet.Process
	for _, v := range d.vms {
		all = append(all, v.node)
	}
	return all
}
