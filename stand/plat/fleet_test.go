package plat_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/greengagewind/greengagewind/gage/transport/mesh"
	"github.com/greengagewind/greengagewind/platform/node"
	"github.com/greengagewind/greengagewind/platform/setup"
	"github.com/greengagewind/greengagewind/stand/plat"
)

const (
	key      = "6wsjnbanfqasnmgkcuyj"
	otherKey = "8pjbvk9m68k7b2ex5wa5"
	host     = "hulo84.example"
	// settleTimeout is the longest wait for the effect of a change in the fleet.
	settleTimeout = 20 * time.Second
)

// vm is a VM: a node and its target.
type vm struct {
	settings setup.Settings
	node     *node.Node
	target   *plat.Target
}

// fleet is a store and VMs that all run in the test process.
type fleet struct {
	t            testing.TB
	store        *plat.Store
	storeAddress string
	vms          []*vm
	version      int
	routes       []map[string]any
	tenants      []map[string]any
	requestCount *atomic.Int64
	// memoryBytes is the memory of each node, 0 if it is not limited.
	memoryBytes int64
	// keptBytes is how much of the body of an answer is kept, 0 for maxAnswerBytes.
	keptBytes int64
}

func route(name, prefix, kind, service string, allowAnonymous bool) map[string]any {
	return map[string]any{
		"name": name, "hostname": host, "prefix": prefix, "kind": kind, "timeout": "5000ms", "target_latency": "1200ms",
		"priority": 1, "service": service, "max_attempts": 2, "allow_anonymous": allowAnonymous,
	}
}

// newEmptyFleet returns a fleet with a configuration and without VMs.
func newEmptyFleet(t testing.TB) *fleet {
	t.Helper()
	f := &fleet{t: t, store: plat.NewStore(), requestCount: new(atomic.Int64)}
	server := httptest.NewServer(f.store.Handler())
	t.Cleanup(server.Close)
	f.storeAddress = server.Listener.Addr().String()
	f.routes = []map[string]any{
		route("look", "/look/", "idempotent", "search", false),
		route("book", "/book/", "non_idempotent", "booking", false),
		route("inner", "/inner/", "idempotent", "booking", true),
	}
	f.tenants = []map[string]any{{"name": "aurora", "api_keys": []string{key}, "priority": 1, "rate_per_s": 1000, "burst": 1000}}
	f.applyConfig()
	return f
}

// newFleet returns a fleet with two VMs of service "search" and one VM of service
// "booking". It waits until all nodes serve requests.
func newFleet(t testing.TB) *fleet {
	t.Helper()
	return newFleetOf(t, 0, "search", "search", "booking")
}

// newFleetOf returns a fleet with a VM of each of the services, whose nodes may use
// memoryBytes, or any memory if that is 0. It waits until all nodes serve requests.
func newFleetOf(t testing.TB, memoryBytes int64, services ...string) *fleet {
	t.Helper()
	f := newEmptyFleet(t)
	f.memoryBytes = memoryBytes
	for _, service := range services {
		f.addVM(service)
	}
	f.waitForAll("every node serves both routes", func(i int) bool {
		return f.send(i, "GET", "/look/1", key).status == 200 && f.send(i, "POST", "/book/1", key).status == 200
	})
	return f
}

func (f *fleet) applyConfig() { f.store.Put("op/config", f.nextConfig()) }

// nextConfig returns the document of the configuration with the next version.
func (f *fleet) nextConfig() []byte {
	f.version += 3
	services := []map[string]any{}
	for _, name := range []string{"search", "booking"} {
		services = append(services, map[string]any{
			"name": name, "health_check_path": "/health", "max_connections": 100, "cold_start": "3s", "cold_per_s": 20.0,
		})
	}
	text, err := json.Marshal(map[string]any{
		"version": f.version, "routes": f.routes, "services": services, "tenants": f.tenants,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout": "3s", "idle_timeout": "15s"},
	})
	assert.NilError(f.t, err)
	return text
}

// addressCount is the number of addresses that uniqueIP has returned.
var addressCount atomic.Int64

// uniqueIP returns a loopback address that no other test in this process uses,
// and that differs from those of test processes that run at the same time.
func uniqueIP() string {
	const firstSecondOctet, secondOctets, thirdOctets, lastOctets = 20, 200, 250, 250
	n := addressCount.Add(1)
	third := os.Getpid()/secondOctets + int(n)/lastOctets
	return fmt.Sprintf("127.%d.%d.%d", firstSecondOctet+os.Getpid()%secondOctets, third%thirdOctets, 1+int(n)%lastOctets)
}

// The ports of a VM.
const (
	peerPort    = 7000
	metricsPort = 7001
	callersPort = 8548
	readyPort   = 8546
	reportsPort = 8540
)

// addVM starts one more VM with a target of service. Targets of service "search"
// make nested calls to service "booking".
func (f *fleet) addVM(service string) {
	n := len(f.vms)
	name, zone := fmt.Sprintf("vm-%d", n), fmt.Sprintf("zone-%d", n%2)
	v := &vm{target: &plat.Target{ID: "i-" + name, Service: service, Zone: zone, Slots: 20, ServiceTime: time.Millisecond}}
	assert.NilError(f.t, v.target.Start("127.0.0.1"))
	f.t.Cleanup(v.target.Stop)
	address := uniqueIP()
	at := func(port int) string { return net.JoinHostPort(address, strconv.Itoa(port)) }
	v.settings = setup.Settings{
		Self:          mesh.Self{VM: name, Zone: zone, Service: service, TargetAddress: v.target.Address, PeerAddress: at(peerPort)},
		CallerAddress: at(callersPort), ReadyAddress: at(readyPort), HeartbeatAddress: at(reportsPort), MetricsAddress: at(metricsPort),
		StoreAddress: f.storeAddress, MemoryBytes: f.memoryBytes,
		Bounds: mesh.Bounds{
			RevocationDelay: 2 * time.Second, RevokeEverywhere: true, RetryRatio: 0.2, RetrySlack: 50,
			ColdOverage: 1.5, ColdSlack: 5, ChangeDelay: 2 * time.Second, Grace: 6 * time.Second,
		},
	}
	if service == "search" {
		v.target.Calls = []plat.Call{{Outbound: v.settings.CallerAddress, Host: host, Path: "/inner/1"}}
	}
	f.startNode(v)
	f.vms = append(f.vms, v)
}

func (f *fleet) startNode(v *vm) {
	n, err := node.Start(v.settings, newLogger(f.t, v.settings.Self.VM))
	assert.NilError(f.t, err)
	v.node = n
	f.t.Cleanup(func() { v.node.Kill() })
	assert.NilError(f.t, v.target.SendHeartbeat(v.settings.HeartbeatAddress, "ready", 0))
}

// newLogger returns a logger that writes to the log of the test. Benchmarks log
// nothing.
func newLogger(t testing.TB, name string) *zap.Logger {
	if _, isBenchmark := t.(*testing.B); isBenchmark {
		return zap.NewNop()
	}
	return zaptest.NewLogger(t, zaptest.Level(zap.InfoLevel)).Named(name)
}

// maxAnswerBytes is how much of the body of an answer the tests keep, unless
// fleet.keptBytes says otherwise.
const maxAnswerBytes = 1 << 20

type answer struct {
	status int
	header http.Header
	body   string
}

func (f *fleet) send(i int, method, path, apiKey string) answer {
	return f.sendWith(i, method, path, func(r *http.Request) {
		if apiKey != "" {
			r.Header.Set("X-Key", apiKey)
		}
	})
}

// sendWith sends a request to node i after modify has altered it. It returns the
// zero answer when no complete answer arrives.
func (f *fleet) sendWith(i int, method, path string, modify func(r *http.Request)) answer {
	r, err := http.NewRequest(method, "http://"+f.vms[i].settings.CallerAddress+path, http.NoBody)
	assert.NilError(f.t, err)
	r.Host = host
	r.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d", f.t.Name(), f.requestCount.Add(1)))
	r.Header.Set("X-Deadline-Milliseconds", "4000")
	modify(r)
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		f.t.Logf("request to node %d: %v", i, err)
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, cmp.Or(f.keptBytes, maxAnswerBytes)))
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	if err != nil {
		return answer{}
	}
	return answer{status: response.StatusCode, header: response.Header, body: string(body)}
}

func (f *fleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("not yet: %s", what)
	}, poll.WithTimeout(settleTimeout), poll.WithDelay(20*time.Millisecond))
}

// requiredSuccesses is the number of consecutive successes after which a fleet counts
// as ready. One success is not enough: after requests that failed because the nodes
// did not know each other yet, the nodes refuse some requests for a while.
const requiredSuccesses = 10

// waitForAll waits until served returns true for every VM requiredSuccesses times
// in succession.
func (f *fleet) waitForAll(what string, served func(i int) bool) {
	f.t.Helper()
	consecutive := 0
	f.waitFor(what, func() bool {
		for i := range f.vms {
			if !served(i) {
				consecutive = 0
				return false
			}
		}
		consecutive++
		return consecutive >= requiredSuccesses
	})
}

// runs returns the runs of a request at all targets.
func (f *fleet) runs(id string) []plat.Run {
	var requestRuns []plat.Run
	for _, v := range f.vms {
		for _, r := range v.target.Runs() {
			if r.ID == id {
				requestRuns = append(requestRuns, r)
			}
		}
	}
	return requestRuns
}
