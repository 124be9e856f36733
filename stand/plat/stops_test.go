package plat_test

import (
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

func TestGracefulStopCutsNothing(t *testing.T) {
	t.Parallel()
	f := start(t)
	f.vms[2].target.Work = time.Second
	answers := make(chan answer, 1)
	before := len(f.vms[2].target.Runs())
	go func() {
		answers <- f.send(0, "POST", "/book/1", key)
	}()
	f.await("the request runs", func() bool { return len(f.vms[2].target.Runs()) > before })
	f.vms[0].node.Stop()
	assert.Equal(t, (<-answers).status, 200)
}

// A request that begins shortly before a stopping process ends would be cut.
func TestStoppingNodeRefusesWhatItCouldNotFinish(t *testing.T) {
	t.Parallel()
	f := start(t)
	f.vms[0].target.Calls, f.vms[1].target.Calls = nil, nil
	f.vms[2].target.Work = 4 * time.Second
	answers, stopped := make(chan answer, 1), make(chan struct{})
	before := len(f.vms[2].target.Runs())
	go func() {
		answers <- f.ask(0, "POST", "/book/1", func(r *http.Request) {
			r.Header.Set("X-Key", key)
			r.Header.Set("X-Deadline-Milliseconds", "5000")
		})
	}()
	f.await("the request runs", func() bool { return len(f.vms[2].target.Runs()) > before })
	go func() {
		f.vms[0].node.Stop()
		close(stopped)
	}()
	f.await("new requests are refused", func() bool { return f.send(0, "GET", "/look/1", key).status == 503 })
	<-stopped
	assert.Equal(t, (<-answers).status, 200)
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

// A process is killed at the end of the time to stop that is in force, which
// may differ from that at its start.
func TestStopKeepsToTheGraceInForce(t *testing.T) {
	f := start(t)
	v := f.vms[0]
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	defer signal.Stop(signals)
	path := filepath.Join(t.TempDir(), "settings.toml")
	host, _, err := net.SplitHostPort(v.settings.CallerAddress)
	assert.NilError(t, err)
	write := func(grace string, modified time.Time) {
		text := fmt.Sprintf(settingsFile, host, grace, v.target.Address, v.settings.CallerAddress, v.settings.ReadyAddress, v.settings.HeartbeatAddress, f.address)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		assert.NilError(t, os.Chtimes(path, modified, modified))
	}
	write("60s", time.Now().Add(-time.Hour))
	_, err = setup.Read(path)
	assert.NilError(t, err)
	// This request lasts longer than the shorter time.
	f.vms[2].target.Work = time.Minute
	answers, stopped := make(chan answer, 1), make(chan struct{})
	go func() {
		v.node.Follow(path)
		v.node.Stop()
		close(stopped)
	}()
	// The file is looked at every second.
	for i := range 3 {
		time.Sleep(time.Second)
		write("1s", time.Now().Add(-time.Minute+time.Duration(i)*time.Second))
	}
	before := len(f.vms[2].target.Runs())
	go func() { answers <- f.send(0, "POST", "/book/1", key) }()
	f.await("the request runs", func() bool { return len(f.vms[2].target.Runs()) > before })
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	<-stopped
	assert.Equal(t, (<-answers).status, 0)
}

// A stop waits for a moment without requests. One that begins in the same
// moment is refused and not cut.
func TestStopBetweenRequestsCutsNothing(t *testing.T) {
	const stops, senders = 24, 4
	f := start(t)
	for range stops {
		f.add("search")
	}
	f.awaitAll("every node serves", func(i int) bool { return f.send(i, "GET", "/inner/1", "").status == 200 })
	var ended sync.WaitGroup
	cut := make(chan string, stops*senders)
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
				if id := f.sendUntilCut(i, fmt.Sprintf("%s-%d-%d", t.Name(), i, j), stopped); id != "" {
					cut <- id
				}
			}()
		}
	}
	ended.Wait()
	close(cut)
	for id := range cut {
		assert.Equal(t, len(f.runs(id)), 0, "%s ran and was not answered", id)
	}
}

// sendUntilCut sends one request after the other to a node on one connection,
// with pauses, until one is not answered; it returns that one's id, or "" when
// the node stopped without.
func (f *fleet) sendUntilCut(i int, name string, stopped <-chan struct{}) string {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		select {
		case <-stopped:
			return ""
		case <-time.After(time.Duration(n%5) * time.Millisecond):
		}
		id := fmt.Sprintf("%s-%d", name, n)
		// With a body that is a stream, net/http does not send it again.
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
