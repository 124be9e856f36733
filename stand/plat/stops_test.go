package plat_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/platform/setup"
)

func TestGracefulStopCompletesRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.vms[2].target.ServiceTime = time.Second
	answers := make(chan answer, 1)
	before := len(f.vms[2].target.Runs())
	go func() {
		answers <- f.send(0, "POST", "/book/1", key)
	}()
	f.waitFor("the request runs", func() bool { return len(f.vms[2].target.Runs()) > before })
	f.vms[0].node.Stop()
	assert.Equal(t, (<-answers).status, 200)
}

// A request that begins shortly before a stopping process exits would get no
// answer, so a stopping node must refuse new requests.
func TestStoppingNodeRefusesRequestsItCannotComplete(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.vms[0].target.Calls, f.vms[1].target.Calls = nil, nil
	f.vms[2].target.ServiceTime = 4 * time.Second
	answers, stopped := make(chan answer, 1), make(chan struct{})
	before := len(f.vms[2].target.Runs())
	go func() {
		answers <- f.sendWith(0, "POST", "/book/1", func(r *http.Request) {
			r.Header.Set("X-Key", key)
			r.Header.Set("X-Deadline-Milliseconds", "5000")
		})
	}()
	f.waitFor("the request runs", func() bool { return len(f.vms[2].target.Runs()) > before })
	go func() {
		f.vms[0].node.Stop()
		close(stopped)
	}()
	f.waitFor("new requests are refused", func() bool { return f.send(0, "GET", "/look/1", key).status == 503 })
	<-stopped
	assert.Equal(t, (<-answers).status, 200)
}

// Requests that came late in the grace period of a planned stop were taken and sent to
// their target. They were cut off without an answer at the end of the grace period, or
// ended with the node's own answer if the target's came a few milliseconds late.
func TestRequestsTakenLateInAStopAreAnswered(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		method, path string
		grace        time.Duration
		// at is when the request is sent, from the beginning of the stop.
		at time.Duration
		// giveUpTime is how long the target needs for its answer at the deadline.
		giveUpTime time.Duration
	}{
		"request of a caller":                 {"POST", "/book/1", 6 * time.Second, 2500 * time.Millisecond, 0},
		"nested request":                      {"GET", "/inner/1", 6 * time.Second, 4200 * time.Millisecond, 0},
		"long grace period":                   {"POST", "/book/1", 10 * time.Second, 4500 * time.Millisecond, 0},
		"request of a caller, slow to answer": {"POST", "/book/1", 6 * time.Second, 2500 * time.Millisecond, 150 * time.Millisecond},
		"nested request, slow to answer":      {"GET", "/inner/1", 6 * time.Second, 4200 * time.Millisecond, 150 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			stopping, booking := f.vms[0], f.vms[2].target
			stopping.node.Kill()
			stopping.settings.Bounds.Grace = c.grace
			f.startNode(stopping)
			f.waitFor("the restarted node serves", func() bool { return f.send(0, c.method, c.path, key).status == 200 })
			booking.ServiceTime, booking.HeedsDeadline, booking.GiveUpTime = time.Minute, true, c.giveUpTime
			f.sendWithoutBody(stopping)
			stopped := make(chan struct{})
			go func() {
				stopping.node.Stop()
				close(stopped)
			}()
			time.Sleep(c.at)
			a := f.sendWith(0, c.method, c.path, func(r *http.Request) {
				r.Header.Set("X-Key", key)
				r.Header.Set("X-Deadline-Milliseconds", "5000")
			})
			assert.Equal(t, a.status, 504)
			assert.Equal(t, a.header.Get("X-Response-Signature"), "signed-i-vm-2", "the target's own answer")
			<-stopped
		})
	}
}

// sendWithoutBody keeps the node of a VM busy with a request whose body does not arrive. It
// returns when the node reads the body.
func (f *fleet) sendWithoutBody(v *vm) {
	c, err := net.Dial("tcp", v.settings.CallerAddress)
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST /inner/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: without-body\r\nX-Deadline-Milliseconds: 60000\r\n"+
		"Content-Length: 10\r\nExpect: 100-continue\r\n\r\n", host)
	assert.NilError(f.t, err)
	line, err := bufio.NewReader(c).ReadString('\n')
	assert.NilError(f.t, err)
	assert.Equal(f.t, strings.TrimSpace(line), "HTTP/1.1 100 Continue")
}

const settingsFile = `node_name = "vm-0"
ip = "%s"
zone = "zone-0"
internal_ports = [7000,7015]
bounds = ["grace=%s"]
application = "%s"
service = "search"
[listen]
outbound = "%s"
ready = "%s"
control = "%s"
[limits]
memory_mb = 284
[platform]
address = "%s"
form = "kv"
`

// The platform kills the process once the grace period has passed. The settings file
// may change this period after the start of the process, so a stop must use the
// current period.
func TestStopUsesTheCurrentGracePeriod(t *testing.T) {
	f := newFleet(t)
	v := f.vms[0]
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	defer signal.Stop(signals)
	path := filepath.Join(t.TempDir(), "settings.toml")
	host, _, err := net.SplitHostPort(v.settings.CallerAddress)
	assert.NilError(t, err)
	writeSettings := func(grace string, modifiedAt time.Time) {
		text := fmt.Sprintf(settingsFile, host, grace, v.target.Address, v.settings.CallerAddress, v.settings.ReadyAddress, v.settings.HeartbeatAddress, f.storeAddress)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		assert.NilError(t, os.Chtimes(path, modifiedAt, modifiedAt))
	}
	writeSettings("60s", time.Now().Add(-time.Hour))
	_, err = setup.Read(path)
	assert.NilError(t, err)
	// The request lasts longer than the shorter grace period.
	f.vms[2].target.ServiceTime = time.Minute
	answers, stopped := make(chan answer, 1), make(chan struct{})
	go func() {
		v.node.Follow(path)
		v.node.Stop()
		close(stopped)
	}()
	// The node checks the settings file every second.
	for i := range 3 {
		time.Sleep(time.Second)
		writeSettings("1s", time.Now().Add(-time.Minute+time.Duration(i)*time.Second))
	}
	before := len(f.vms[2].target.Runs())
	go func() { answers <- f.send(0, "POST", "/book/1", key) }()
	f.waitFor("the request runs", func() bool { return len(f.vms[2].target.Runs()) > before })
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	<-stopped
	assert.Equal(t, (<-answers).status, 0)
}

// A stopping node closes its servers once no request is in progress. A request
// that begins at the same time must be refused before it runs, or answered.
func TestStopBetweenRequestsInterruptsNoRequest(t *testing.T) {
	const stops, senders = 24, 4
	f := newFleet(t)
	for range stops {
		f.addVM("search")
	}
	f.waitForAll("every node serves", func(i int) bool { return f.send(i, "GET", "/inner/1", "").status == 200 })
	var ended sync.WaitGroup
	unanswered := make(chan string, stops*senders)
	for i := 3; i < len(f.vms); i++ {
		stopped := make(chan struct{})
		ended.Add(1 + senders)
		go func() {
			defer ended.Done()
			f.vms[i].node.Stop()
			close(stopped)
		}()
		for j := range senders {
			go func() {
				defer ended.Done()
				if id := f.sendUntilUnanswered(i, fmt.Sprintf("%s-%d-%d", t.Name(), i, j), stopped); id != "" {
					unanswered <- id
				}
			}()
		}
	}
	ended.Wait()
	close(unanswered)
	for id := range unanswered {
		assert.Equal(t, len(f.runs(id)), 0, "request %s ran but got no answer", id)
	}
}

// sendUntilUnanswered sends requests one after the other to a node on one
// connection, with pauses, until one gets no answer. It returns the id of this
// request, or "" when the node stops first.
func (f *fleet) sendUntilUnanswered(i int, name string, stopped <-chan struct{}) string {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-stopped:
			return ""
		case <-time.After(time.Duration(n%5) * time.Millisecond):
		}
		id := fmt.Sprintf("%s-%d", name, n)
		// net/http does not retry a request whose body is a stream.
		r, err := http.NewRequest(http.MethodPost, "http://"+f.vms[i].settings.CallerAddress+"/inner/1", io.NopCloser(strings.NewReader("")))
		if err != nil {
			return id
		}
		r.Host = host
		r.Header.Set("X-Request-Id", id)
		r.Header.Set("X-Deadline-Milliseconds", "4000")
		response, err := client.Do(r)
		if err != nil {
			return id
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil {
			return id
		}
	}
}
