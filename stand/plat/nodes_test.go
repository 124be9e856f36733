package plat_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/transport/packet"
	"github.com/greengagewind/greengagewind/stand/plat"
)

func TestRequestReachesTheTargetUnchanged(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	a := f.sendWith(0, "POST", "/book/a%2Fb;c?x=1&y=%20", func(r *http.Request) {
		r.Header.Set("X-Key", key)
		r.Header.Set("X-Tenant", "forged")
		r.Header.Set("X-Caller-Service", "forged")
		r.Header.Set("X-Expected-Instance", "forged")
		r.Header.Set("Gage-Target", "forged")
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader("hello")), 5
	})
	assert.Equal(t, a.status, 200)
	id := a.header.Get("X-Request-Id")
	assert.Equal(t, a.body, "answer to "+id)
	assert.Equal(t, a.header.Get("X-Response-Signature"), "signed-i-vm-2")
	runs := f.runs(id)
	assert.Equal(t, len(runs), 1)
	run := runs[0]
	assert.Assert(t, run.DeadlineMillis > 0 && run.DeadlineMillis <= 4000, "%d", run.DeadlineMillis)
	assert.Assert(t, !run.At.IsZero())
	run.DeadlineMillis, run.At = 0, time.Time{}
	assert.DeepEqual(t, run, plat.Run{
		ID: id, Method: "POST", URI: "/book/a%2Fb;c?x=1&y=%20", Workspace: "aurora", CallerService: "search", ExpectedTarget: "i-vm-2", BodyBytes: 5,
	})
}

func TestInvalidRequestsDoNotReachTargets(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	cases := []struct {
		name       string
		path       string
		modify     func(r *http.Request)
		wantStatus int
	}{
		{"no key", "/look/1", func(*http.Request) {}, 401},
		{"unknown key", "/look/1", func(r *http.Request) { r.Header.Set("X-Key", otherKey) }, 401},
		{"two keys", "/look/1", func(r *http.Request) { r.Header["X-Key"] = []string{key, key} }, 400},
		{"no request id", "/look/1", func(r *http.Request) { r.Header.Set("X-Key", key); r.Header.Del("X-Request-Id") }, 400},
		{"two request ids", "/look/1", func(r *http.Request) { r.Header.Set("X-Key", key); r.Header["X-Request-Id"] = []string{"a", "b"} }, 400},
		{"deadline that is no number", "/look/1", func(r *http.Request) { r.Header.Set("X-Key", key); r.Header.Set("X-Deadline-Milliseconds", "soon") }, 400},
		{"negative deadline", "/look/1", func(r *http.Request) { r.Header.Set("X-Key", key); r.Header.Set("X-Deadline-Milliseconds", "-1") }, 400},
		{"unknown host", "/look/1", func(r *http.Request) { r.Header.Set("X-Key", key); r.Host = "none.example" }, 404},
		{"path that almost matches", "/look", func(r *http.Request) { r.Header.Set("X-Key", key) }, 404},
		{"parent path", "/", func(r *http.Request) { r.Header.Set("X-Key", key) }, 404},
		{"header too large", "/look/1", func(r *http.Request) {
			r.Header.Set("X-Key", key)
			r.Header.Set("X-Long", strings.Repeat("x", 17000))
		}, 431},
		{"body too large", "/look/1", func(r *http.Request) {
			r.Header.Set("X-Key", key)
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 2<<20))), 2<<20
		}, 413},
	}
	runsBefore := f.totalRuns()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, f.sendWith(0, "GET", c.path, c.modify).status, c.wantStatus)
		})
	}
	assert.Equal(t, f.totalRuns(), runsBefore)
	assert.Equal(t, f.send(0, "GET", "/look/1", key).status, 200)
}

// Requests that two HTTP parsers might split differently (request smuggling) must
// not reach a target.
func TestSmuggledRequestsAreRefused(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	head := "POST /book/1 HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: smuggler\r\nX-Key: " + key + "\r\n"
	cases := map[string]string{
		"two lengths":        head + "Content-Length: 4\r\nContent-Length: 40\r\n\r\nabcd",
		"signed length":      head + "Content-Length: +4\r\n\r\nabcd",
		"space before colon": head + "Content-Length : 4\r\n\r\nabcd",
		"folded header":      head + "X-A: b\r\n c\r\nContent-Length: 0\r\nTransfer-Encoding : chunked\r\n\r\n",
		"unknown coding":     head + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"two codings":        head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
		"two hosts":          "POST /book/1 HTTP/1.1\r\nHost: a\r\nHost: " + host + "\r\nX-Request-Id: smuggler\r\nX-Key: " + key + "\r\n\r\n",
		"bad chunk":          head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabcd\r\n0\r\n\r\n",
		"newline in target":  "POST /book/1\nX: y HTTP/1.1\r\nHost: " + host + "\r\n\r\n",
	}
	for name, rawRequest := range cases {
		t.Run(name, func(t *testing.T) {
			c, err := net.Dial("tcp", f.vms[0].settings.CallerAddress)
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, rawRequest)
			assert.NilError(t, err)
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(settleTimeout)))
			text, _ := io.ReadAll(c)
			assert.Assert(t, strings.HasPrefix(string(text), "HTTP/1.1 4") || strings.HasPrefix(string(text), "HTTP/1.1 501"), "%q", text)
			assert.Equal(t, len(f.runs("smuggler")), 0)
		})
	}
}

func (f *fleet) totalRuns() int {
	n := 0
	for _, v := range f.vms {
		n += len(v.target.Runs())
	}
	return n
}

func TestNonIdempotentRequestsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	booking := f.vms[2].target
	cases := map[plat.TargetFault]struct{ status, runs int }{
		plat.TargetRejects:      {503, 0},
		plat.TargetLosesAnswers: {502, 1},
		plat.TargetTruncates:    {502, 1},
		plat.TargetUnsigned:     {502, 1},
		plat.TargetFails:        {500, 1},
	}
	for fault, want := range cases {
		t.Run(string(fault), func(t *testing.T) {
			booking.SetFault(fault)
			defer booking.SetFault(plat.TargetHealthy)
			for i := range f.vms {
				a := f.send(i, "POST", "/book/1", key)
				assert.Equal(t, a.status, want.status)
				id := fmt.Sprintf("%s-%d", f.t.Name(), f.requestCount.Load())
				assert.Equal(t, len(f.runs(id)), want.runs)
				if want.status == 503 {
					retryAfter, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
					assert.NilError(t, err)
					assert.Assert(t, retryAfter > 0 && retryAfter <= 4)
				}
			}
		})
	}
}

func TestIdempotentRequestsAreRetriedAtAnotherTarget(t *testing.T) {
	for _, fault := range []plat.TargetFault{plat.TargetLosesAnswers, plat.TargetTruncates, plat.TargetUnsigned, plat.TargetRejects, plat.TargetFails} {
		t.Run(string(fault), func(t *testing.T) {
			f := newFleet(t)
			// Retries are limited to a share of the first attempts, so enough of
			// these must come first.
			const firstAttempts = 200
			for range firstAttempts {
				assert.Equal(t, f.send(0, "GET", "/look/1", key).status, 200)
			}
			f.vms[0].target.SetFault(fault)
			served := 0
			const requests = 10
			for range requests {
				if f.send(0, "GET", "/look/1", key).status == 200 {
					served++
				}
			}
			assert.Equal(t, served, requests)
		})
	}
}

func TestNodeWithoutPeersDoesNotReduceAdmission(t *testing.T) {
	t.Parallel()
	f := newEmptyFleet(t)
	f.addVM("search")
	f.waitFor("requests reach the target, whose nested call fails", func() bool { return f.send(0, "GET", "/look/1", key).status == 500 })
	// The failed requests take about a second, in which the node updates the
	// admission probability several times.
	const failedRequests, requests = 400, 60
	for range failedRequests {
		f.send(0, "GET", "/look/1", key)
	}
	f.addVM("booking")
	f.waitFor("the node knows a target of booking", func() bool { return f.send(0, "GET", "/inner/1", "").status == 200 })
	for range requests {
		assert.Equal(t, f.send(0, "GET", "/look/1", key).status, 200)
	}
}

func TestNodesFollowTheConfiguration(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.tenants[0]["api_keys"] = []string{otherKey}
	f.routes = append(f.routes, route("new", "/new/", "idempotent", "booking", false))
	f.applyConfig()
	f.waitFor("all nodes serve the new key and route and refuse the old key", func() bool {
		for i := range f.vms {
			if f.send(i, "GET", "/new/1", otherKey).status != 200 || f.send(i, "GET", "/look/1", key).status != 401 {
				return false
			}
		}
		return true
	})
	f.store.Put("op/config", []byte(`{"version": 99999, "routes": [`))
	f.store.Put("op/config", []byte(`{"version": 1, "routes": [], "services": []}`))
	f.store.Put("op/forged", []byte{0xff, 0})
	f.waitFor("the new key is still served after invalid documents", func() bool { return f.send(0, "GET", "/new/1", otherKey).status == 200 })
	f.store.Compact()
	f.routes = f.routes[:3]
	f.applyConfig()
	f.waitFor("all nodes refuse the removed route", func() bool {
		for i := range f.vms {
			if f.send(i, "GET", "/new/1", otherKey).status != 404 {
				return false
			}
		}
		return true
	})
}

func TestKeysAreRefusedAfterALongStoreOutage(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.SetFault(plat.StoreResets)
	f.waitFor("requests with a key are refused", func() bool { return f.send(0, "GET", "/look/1", key).status == 503 })
	assert.Equal(t, f.send(0, "GET", "/inner/1", "").status, 200)
	f.store.SetFault(plat.StoreHealthy)
	f.waitFor("requests with a key are served again", func() bool { return f.send(0, "GET", "/look/1", key).status == 200 })
}

func TestNodeStartsWhileTheStoreFails(t *testing.T) {
	for _, fault := range []plat.StoreFault{plat.StoreUnavailable, plat.StoreLosesAnswers} {
		t.Run(string(fault), func(t *testing.T) {
			f := newFleet(t)
			f.store.SetFault(fault)
			f.vms[1].node.Kill()
			f.startNode(f.vms[1])
			f.waitFor("a restarted node gets the configuration from its peers", func() bool {
				return f.send(1, "GET", "/inner/1", "").status == 200
			})
			f.store.SetFault(plat.StoreHealthy)
			f.waitFor("requests with a key are served again", func() bool { return f.send(1, "GET", "/look/1", key).status == 200 })
		})
	}
}

func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	announcements := map[string]func(v *vm) error{
		"draining": func(v *vm) error { return v.target.SendHeartbeat(v.settings.HeartbeatAddress, "draining", 0) },
		"left":     func(v *vm) error { return v.target.Deregister(v.settings.HeartbeatAddress) },
	}
	for name, announce := range announcements {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			v := f.vms[0]
			assert.NilError(t, announce(v))
			before := len(v.target.Runs())
			for i := range 30 {
				assert.Equal(t, f.send(i%3, "GET", "/look/1", key).status, 200)
			}
			assert.Equal(t, len(v.target.Runs()), before)
		})
	}
}

func TestLateAndForgedHeartbeatsAreIgnored(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	v := f.vms[2]
	url := "http://" + v.settings.HeartbeatAddress + "/-/instances/"
	cases := []struct {
		name, id, body string
		status         int
	}{
		{"older incarnation", "i-old", `{"born":5,"server_info":{"service":"booking","slots":20},"status":{"state":"draining","sequence":900,"cold_remaining":"0ms"}}`, 200},
		{"late heartbeat", "i-vm-2", fmt.Sprintf(`{"born":%d,"server_info":{"service":"booking","slots":20},"status":{"state":"draining","sequence":0,"cold_remaining":"0ms"}}`, time.Now().UnixMilli()-1_000_000), 200},
		{"no slots", "i-vm-2", `{"server_info":{"service":"booking"},"status":{"state":"draining","sequence":900}}`, 400},
		{"unknown state", "i-vm-2", `{"server_info":{"service":"booking","slots":3},"status":{"state":"gone","sequence":900}}`, 400},
		{"string instead of number", "i-vm-2", `{"server_info":{"service":"booking","slots":"3"},"status":{"state":"ready","sequence":900}}`, 400},
		{"not JSON", "i-vm-2", "\xff\x00", 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, err := http.NewRequest(http.MethodPut, url+c.id, strings.NewReader(c.body))
			assert.NilError(t, err)
			response, err := http.DefaultClient.Do(r)
			assert.NilError(t, err)
			_ = response.Body.Close()
			assert.Equal(t, response.StatusCode, c.status)
			assert.Equal(t, f.send(0, "POST", "/book/1", key).status, 200)
		})
	}
}

func TestTargetRestartsWithTheSameID(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	v := f.vms[2]
	v.target.Stop()
	f.waitFor("requests to booking fail", func() bool { return f.send(0, "POST", "/book/1", key).status != 200 })
	restarted := &plat.Target{ID: v.target.ID, Service: "booking", Zone: "zone-0", Slots: 20, ServiceTime: time.Millisecond}
	listener, err := net.Listen("tcp", v.settings.Self.TargetAddress)
	assert.NilError(t, err)
	_ = listener.Close()
	assert.NilError(t, restarted.StartAt(v.settings.Self.TargetAddress))
	defer restarted.Stop()
	f.waitFor("the target gets requests again", func() bool { return f.send(0, "POST", "/book/1", key).status == 200 })
}

func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.Put("op/evacuate/zone-0", []byte("{}"))
	// A node learns of the evacuation from the store or from another node.
	f.waitForAll("booking, which has no target in another zone, gets no requests", func(i int) bool { return f.send(i, "POST", "/book/1", key).status == 503 })
	before := len(f.vms[2].target.Runs())
	for range 10 {
		for i := range f.vms {
			assert.Equal(t, f.send(i, "POST", "/book/1", key).status, 503)
		}
	}
	assert.Equal(t, len(f.vms[2].target.Runs()), before)
	f.store.Remove("op/evacuate/zone-0")
	f.waitFor("the zone gets requests again", func() bool { return f.send(1, "POST", "/book/1", key).status == 200 })
}

func TestCancellationReachesTheTarget(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.vms[2].target.ServiceTime = time.Minute
	c, err := net.Dial("tcp", f.vms[0].settings.CallerAddress)
	assert.NilError(t, err)
	_, err = io.WriteString(c, "GET /inner/1 HTTP/1.1\r\nHost: "+host+"\r\nX-Request-Id: leaver\r\nX-Deadline-Milliseconds: 4000\r\n\r\n")
	assert.NilError(t, err)
	f.waitFor("the request runs", func() bool { return len(f.runs("leaver")) == 1 })
	assert.NilError(t, c.Close())
	f.waitFor("the run is canceled", func() bool { return f.vms[2].target.Canceled() == 1 })
}

func TestTimeoutAnswers504(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.vms[2].target.ServiceTime = time.Minute
	// Either the deadline of the connection or that of the request may expire
	// first. The test sends many requests so that both cases occur.
	const requests = 40
	var refused []string
	for range requests {
		a := f.sendWith(0, "POST", "/book/1", func(r *http.Request) {
			r.Header.Set("X-Key", key)
			r.Header.Set("X-Deadline-Milliseconds", "50")
		})
		if a.status == 503 {
			// On a busy machine no connection may be opened in time.
			refused = append(refused, a.header.Get("X-Request-Id"))
			continue
		}
		assert.Equal(t, a.status, 504)
	}
	assert.Assert(t, len(refused) < requests/2, "%d refused", len(refused))
	time.Sleep(time.Second)
	for _, id := range refused {
		assert.Equal(t, len(f.runs(id)), 0, "%s was refused as not run", id)
	}
}

// A forwarded request that waits for admission at another node must be refused
// there early enough for the refusal to arrive before the deadline. Otherwise
// the forwarding node cannot tell that the request has not run.
func TestForwardedWaitEndsBeforeTheDeadline(t *testing.T) {
	t.Parallel()
	f := newEmptyFleet(t)
	f.addVM("search")
	address := net.JoinHostPort(uniqueIP(), strconv.Itoa(peerPort))
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	forwardedHeaders := make(chan http.Header, 1)
	peer := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case forwardedHeaders <- r.Header:
		default:
		}
		w.Header().Set("Gage-Outcome", string(gage.OutcomeNotRun))
		w.Header().Set("Gage-Reason", string(gage.ReasonOverload))
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	go func() { _ = peer.Serve(listener) }()
	t.Cleanup(func() { _ = peer.Close() })
	socket, err := packet.Listen(address)
	assert.NilError(t, err)
	t.Cleanup(socket.Close)
	state := gage.NodeState{
		VM: "vm-9", Zone: "zone-0", Address: address, StartedAt: 1, ConfirmedAge: -1,
		Target: gage.TargetState{ID: "i-vm-9", Service: "booking", Phase: gage.TargetServing, Limit: 10},
	}
	f.waitFor("a request is forwarded", func() bool {
		state.Sequence++
		_, err := socket.Send(gage.Packet{States: []gage.NodeState{state}}, f.vms[0].settings.Self.PeerAddress)
		assert.NilError(t, err)
		f.send(0, "GET", "/inner/1", "")
		return len(forwardedHeaders) > 0
	})
	header := <-forwardedHeaders
	waitMillis, err := strconv.Atoi(header.Get("Gage-Wait"))
	assert.NilError(t, err)
	deadlineMillis, err := strconv.Atoi(header.Get("Gage-Deadline"))
	assert.NilError(t, err)
	// minMarginMillis covers the latency between zones of about 1 ms. The rest
	// allows for delays on a busy node.
	const minMarginMillis = 5
	assert.Assert(t, deadlineMillis-waitMillis >= minMarginMillis, "wait %d ms, deadline in %d ms", waitMillis, deadlineMillis)
}

// A request runs at a target that fails, and the target that is tried next rejects it.
// The caller gets the answer of the first one, and is not told that nothing has run.
func TestRefusalIsTrueAfterAFailedRun(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.vms[0].target.SetFault(plat.TargetFails)
	f.vms[1].target.SetFault(plat.TargetRejects)
	failed := 0
	for range 60 {
		a := f.send(0, "GET", "/look/1", key)
		runs := f.runs(a.header.Get("X-Request-Id"))
		if len(runs) > 0 {
			failed++
			assert.Equal(t, a.status, 500)
			assert.Equal(t, a.header.Get("X-Response-Signature"), "signed-i-vm-0")
		} else {
			assert.Equal(t, a.status, 503)
		}
	}
	assert.Assert(t, failed > 0)
}

func TestQuotaIsEnforcedAcrossNodes(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.tenants[0]["rate_per_s"], f.tenants[0]["burst"] = 5, 5
	f.applyConfig()
	f.waitFor("the limit is in force", func() bool { return f.send(0, "GET", "/look/1", key).status == 429 })
	a := f.send(1, "GET", "/look/1", otherKey)
	assert.Equal(t, a.status, 401)
	for {
		a = f.send(0, "GET", "/look/1", key)
		if a.status == 429 {
			break
		}
	}
	assert.Assert(t, a.header.Get("Retry-After") != "")
}

func TestFleetRecoversAfterAllNodesAreKilled(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	for _, v := range f.vms {
		v.node.Kill()
	}
	for _, v := range f.vms {
		f.startNode(v)
	}
	f.waitForAll("every node serves", func(i int) bool { return f.send(i, "GET", "/look/1", key).status == 200 })
}

// Requests were sent on although their callers had left: the node read the request and the
// close of its connection at the same time, and the request ran first.
func TestRequestsOfLeftCallersAreNotSentOn(t *testing.T) {
	t.Parallel()
	const repetitions = 20
	f := newFleet(t)
	booking := f.vms[2]
	booking.target.ServiceTime = 60 * time.Millisecond
	forwarded := "Gage-Target: i-vm-2\r\nGage-Caller: search\r\nGage-Route: inner\r\nGage-Rank: 1\r\nGage-Deadline: 4000\r\nGage-Ends: 4000\r\nGage-Wait: 4000\r\n"
	cases := map[string]struct{ address, idHeader, header string }{
		"at the caller's node":           {f.vms[0].settings.CallerAddress, "X-Request-Id", ""},
		"at the node beside the target":  {booking.settings.CallerAddress, "X-Request-Id", ""},
		"forwarded to the target's node": {booking.settings.Self.PeerAddress, "Gage-Id", forwarded},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var ran []string
			for i := range repetitions {
				stayed, left := fmt.Sprint(name, i, "-stayed"), fmt.Sprint(name, i, "-left")
				f.sendPairAndLeave(t, c.address, c.idHeader, c.header, stayed, left)
				if len(f.runs(left)) > 0 {
					ran = append(ran, left)
				}
			}
			assert.Equal(t, len(ran), 0, "%d of %d ran", len(ran), repetitions)
		})
	}
}

// sendPairAndLeave sends two requests on one connection, the second while the first runs,
// closes the connection for writing, and reads until the node closes it. The node reads the
// second request when it has answered the first, long after the close has arrived.
func (f *fleet) sendPairAndLeave(t *testing.T, address, idHeader, header, first, second string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	for _, id := range []string{first, second} {
		_, err := io.WriteString(c, "GET /inner/1 HTTP/1.1\r\nHost: "+host+"\r\n"+idHeader+": "+id+"\r\n"+header+"\r\n")
		assert.NilError(t, err)
		if id == first {
			f.waitFor("the first request runs", func() bool { return len(f.runs(first)) == 1 })
		}
	}
	assert.NilError(t, c.(*net.TCPConn).CloseWrite())
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(settleTimeout)))
	_, err = io.ReadAll(c)
	assert.NilError(t, err)
}

// A target failed an idempotent request with a long body. The node closed the answer to try
// another target, could not, and passed on the beginning of the body as a complete answer.
func TestLongFailuresAreDeliveredWhole(t *testing.T) {
	t.Parallel()
	const failureBytes, requests = 200 << 10, 20
	for name, disturb := range map[string]func(f *fleet){
		"no other target": func(f *fleet) {
			assert.NilError(t, f.vms[1].target.SendHeartbeat(f.vms[1].settings.HeartbeatAddress, "draining", 0))
		},
		"the other target fails too":       func(f *fleet) { f.vms[1].target.SetFault(plat.TargetFails) },
		"the other target does not answer": func(f *fleet) { f.vms[1].target.SetFault(plat.TargetLosesAnswers) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			for _, v := range f.vms[:2] {
				v.target.FailureBytes = failureBytes
			}
			f.vms[0].target.SetFault(plat.TargetFails)
			disturb(f)
			failures := 0
			for range requests {
				a := f.send(2, "GET", "/look/1", key)
				if a.status == http.StatusInternalServerError {
					failures++
					assert.Equal(t, len(a.body), failureBytes)
				}
			}
			assert.Assert(t, failures > 0)
		})
	}
}

// A failure that does not end came out as a complete answer of 128 KB.
func TestFailureWithoutEndIsNoCompleteAnswer(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	for _, v := range f.vms[:2] {
		v.target.SetRawResponse("HTTP/1.1 500 Internal Server Error\r\nX-Response-Signature: signed\r\nX-Request-Id: {id}\r\n\r\n", "x")
	}
	for range 5 {
		a := f.sendWith(2, "GET", "/look/1", func(r *http.Request) {
			r.Header.Set("X-Key", key)
			r.Header.Set("X-Deadline-Milliseconds", "700")
		})
		assert.Assert(t, a.status != http.StatusInternalServerError, "%d bytes", len(a.body))
	}
}
