package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"syscall"
	"time"
)

const host = "app.example"

var threeZones = []string{"zone-a", "zone-b", "zone-c"}

// logsCase lets the reader of one node's log stop for a while. The rule is CONFIG: of the
// requests that are unanswered at their route's timeout, more than half have no answer half
// a second later.
func logsCase(r *record, f *fleet, trouble bool) (bool, error) {
	const (
		timeout = time.Second
		stall   = 30 * time.Second
		late    = 500 * time.Millisecond
	)
	for _, zone := range threeZones {
		f.add(zone, "bookings", 100, 40*time.Millisecond)
	}
	m := f.machines[0]
	read, written, err := os.Pipe()
	if err != nil {
		return false, err
	}
	m.logs = written
	reader := exec.Command("cat")
	reader.Stdin = read
	collected, err := os.Create(filepath.Join(f.dir, "collected.log"))
	if err != nil {
		return false, err
	}
	reader.Stdout = collected
	if err := reader.Start(); err != nil {
		return false, err
	}
	defer func() {
		_ = reader.Process.Signal(syscall.SIGCONT)
		_ = reader.Process.Kill()
		_ = reader.Wait()
	}()
	f.configure(config(1,
		[]map[string]any{route("book", "/book/", "non_idempotent", "bookings", "1000ms", "500ms", false)},
		[]map[string]any{service("bookings", 40)},
		[]map[string]any{tenant("north", "northkey0123456789ab", 400, 400), tenant("south", "southkey0123456789ab", 10, 10)}))
	if err := f.start(); err != nil {
		return false, err
	}
	north, south := &answers{}, &answers{}
	begin := time.Now()
	end := begin.Add(5*time.Second + stall)
	book := func(key string) func() request {
		return func() request {
			return request{method: http.MethodPost, host: host, path: "/book/1", key: key, deadline: 3 * time.Second, body: 200}
		}
	}
	f.press(north, f.machines, 10, end, book("northkey0123456789ab"))
	// This tenant sends more than its rate, and is refused what lies beyond.
	f.press(south, f.machines, 40, end, book("southkey0123456789ab"))
	time.Sleep(5 * time.Second)
	if trouble {
		r.say("%.3f s: the reader of the log of %s stops reading", time.Since(r.start).Seconds(), m.name)
		_ = reader.Process.Signal(syscall.SIGSTOP)
	}
	time.Sleep(time.Until(end))
	r.say("%.3f s: the node of %s says that it is ready: %t", time.Since(r.start).Seconds(), m.name, m.probe())
	_ = reader.Process.Signal(syscall.SIGCONT)
	north.left.Wait()
	south.left.Wait()
	ran := make(map[string]bool)
	for _, other := range f.machines {
		for _, x := range other.worker.runsSoFar() {
			ran[x.id] = true
		}
	}
	isHeld := true
	for _, of := range f.machines {
		sent, unanswered, without, ranWithout := 0, 0, 0, 0
		for _, a := range north.all {
			if a.machine != of {
				continue
			}
			sent++
			if a.doneAt.Sub(a.sentAt) <= timeout {
				continue
			}
			unanswered++
			if a.doneAt.Sub(a.sentAt) > timeout+late {
				without++
				if ran[a.id] {
					ranWithout++
				}
			}
		}
		r.say("%s, tenant within its limit: %d requests, %d unanswered at the route's timeout, %d of them half a second later; of these %d have run",
			of.name, sent, unanswered, without, ranWithout)
		if without >= 8 && 2*without > unanswered {
			isHeld = false
		}
	}
	return isHeld, nil
}

// leaveCase kills the node of a worker that has just left, and lets a heartbeat from before
// arrive late. The rule is DRAIN: a request reaches a worker later than drain after its
// leaving was acknowledged, taken and sent on by machines in touch.
func leaveCase(r *record, f *fleet, trouble bool) (bool, error) {
	const (
		drain        = 2 * time.Second
		stableWindow = 3 * time.Second
		killAfter    = 200 * time.Millisecond
		downFor      = 500 * time.Millisecond
		beatDelay    = 2500 * time.Millisecond
		servesFor    = 10 * time.Second
	)
	for _, zone := range threeZones {
		f.add(zone, "bookings", 100, 100*time.Millisecond)
	}
	f.configure(config(1,
		[]map[string]any{route("book", "/book/", "non_idempotent", "bookings", "5000ms", "1500ms", false)},
		[]map[string]any{service("bookings", 40)},
		[]map[string]any{tenant("north", "northkey0123456789ab", 1000, 1000)}))
	if err := f.start(); err != nil {
		return false, err
	}
	clients := &answers{}
	end := time.Now().Add(3*time.Second + servesFor + 2*time.Second)
	f.press(clients, f.machines, 20, end, func() request {
		return request{method: http.MethodPost, host: host, path: "/book/1", key: "northkey0123456789ab", deadline: 5 * time.Second, body: 200}
	})
	time.Sleep(3 * time.Second)
	m := f.machines[0]
	w := m.worker
	// This heartbeat is sent now and arrives later.
	lateBeat := w.beatBody()
	if err := w.leave(); err != nil {
		return false, fmt.Errorf("the leaving is not acknowledged: %w", err)
	}
	ackAt := time.Now()
	r.say("%.3f s: the leaving of worker %s is acknowledged", time.Since(r.start).Seconds(), w.id)
	startedAt := ackAt.Add(-time.Hour)
	if trouble {
		time.Sleep(time.Until(ackAt.Add(killAfter)))
		m.kill()
		time.Sleep(downFor)
		if err := m.restartNode(); err != nil {
			return false, err
		}
		startedAt = time.Now()
	}
	time.Sleep(time.Until(ackAt.Add(beatDelay)))
	err := w.send(http.MethodPut, lateBeat, ackTimeout)
	r.say("%.3f s: a heartbeat from before the leaving arrives, error %v", time.Since(r.start).Seconds(), err)
	time.Sleep(time.Until(ackAt.Add(servesFor)))
	w.crash()
	clients.left.Wait()
	byID := make(map[string]answer)
	for _, a := range clients.all {
		byID[a.id] = a
	}
	late, cut := 0, 0
	first := time.Time{}
	for _, x := range w.runsSoFar() {
		a := byID[x.id]
		if x.arrivedAt.Before(ackAt.Add(drain)) || x.arrivedAt.Before(startedAt.Add(stableWindow)) || a.machine == m && a.sentAt.Before(startedAt.Add(stableWindow)) {
			continue
		}
		if first.IsZero() {
			first = x.arrivedAt
		}
		late++
		if a.status != http.StatusOK {
			cut++
		}
	}
	r.say("requests that reached the worker later than drain, from machines in touch: %d; of these without a success: %d", late, cut)
	if late > 0 {
		r.say("the first of them %.3f s after the ack", first.Sub(ackAt).Seconds())
	}
	return late == 0, nil
}

// coldCase evacuates a zone and takes it back. Its worker is cold at the end, and the last
// heartbeat from before arrives late. The rule is FAILBACK: a cold worker gets more requests
// in one second than cold_per_s x cold_overage + cold_slack.
func coldCase(r *record, f *fleet, trouble bool) (bool, error) {
	const (
		coldPerS  = 40.0
		allowed   = coldPerS*1.5 + 5
		evacuated = 6 * time.Second
		coldFor   = 3 * time.Second
		beatDelay = 800 * time.Millisecond
	)
	for _, zone := range threeZones {
		f.add(zone, "bookings", 179, 50*time.Millisecond)
	}
	f.configure(config(1,
		[]map[string]any{route("book", "/book/", "non_idempotent", "bookings", "5000ms", "1500ms", false)},
		[]map[string]any{service("bookings", coldPerS)},
		[]map[string]any{tenant("north", northKey, 2000, 2000)}))
	if err := f.start(); err != nil {
		return false, err
	}
	clients := &answers{}
	end := time.Now().Add(3*time.Second + evacuated + 6*time.Second)
	f.press(clients, f.machines, 250, end, func() request {
		return request{method: http.MethodPost, host: host, path: "/book/1", key: northKey, deadline: 5 * time.Second, body: 200}
	})
	time.Sleep(3 * time.Second)
	w := f.machines[0].worker
	if trouble {
		f.store.put("op/evacuate/"+w.zone, []byte("{}"))
		r.say("%.3f s: the evacuation of %s is acknowledged", time.Since(r.start).Seconds(), w.zone)
	}
	time.Sleep(evacuated)
	// The next heartbeat after this one is due one interval later.
	w.endBeats()
	lateBeat := w.beatBody()
	backAt := time.Now()
	if trouble {
		w.mu.Lock()
		w.warmAt = backAt.Add(coldFor)
		// A rate well above what a cold worker tolerates makes it crash.
		w.maxPerSecond = 2 * int(allowed)
		w.mu.Unlock()
		f.store.remove("op/evacuate/" + w.zone)
		r.say("%.3f s: the evacuation is taken back, worker %s is cold", time.Since(r.start).Seconds(), w.id)
	}
	time.Sleep(time.Until(backAt.Add(beatDelay)))
	err := w.send(http.MethodPut, lateBeat, ackTimeout)
	r.say("%.3f s: a heartbeat from before that arrives, error %v", time.Since(r.start).Seconds(), err)
	time.Sleep(time.Until(backAt.Add(heartbeatInterval)))
	_ = w.send(http.MethodPut, w.beatBody(), ackTimeout)
	time.Sleep(time.Until(end))
	clients.left.Wait()
	status := make(map[int]int)
	for _, a := range clients.all {
		status[a.status]++
	}
	var at []time.Time
	for _, x := range w.runsSoFar() {
		if !x.arrivedAt.Before(backAt) && x.arrivedAt.Before(w.warmAt) {
			at = append(at, x.arrivedAt)
		}
	}
	sort.Slice(at, func(i, j int) bool { return at[i].Before(at[j]) })
	most := 0
	for i, j := 0, 0; j < len(at); j++ {
		for at[j].Sub(at[i]) >= time.Second {
			i++
		}
		most = max(most, j-i+1)
	}
	r.say("answers by status (0: cut off, -1: none): %v", status)
	r.say("most requests that the cold worker got in one second: %d, allowed are %.0f; crashed: %t, with %d requests in hand", most, allowed, !w.endedAt.IsZero(), w.endedRuns)
	return float64(most) <= allowed, nil
}

// quotaCase kills the nodes right after a tenant has used its burst. The rule is QUOTA: in
// some quota_window more requests of a tenant are sent and run than
// (rate_per_s x window + burst) x (1 + quota_overage) + quota_slack.
func quotaCase(r *record, f *fleet, trouble bool) (bool, error) {
	const (
		rate    = 20.0
		burst   = 2000.0
		window  = 5 * time.Second
		downFor = time.Second
	)
	allowed := (rate*window.Seconds()+burst)*1.1 + 20
	for _, zone := range threeZones {
		f.add(zone, "history", 179, 10*time.Millisecond)
		f.add(zone, "bookings", 179, 10*time.Millisecond)
	}
	f.configure(config(1,
		[]map[string]any{route("visits", "/visits/", "idempotent", "history", "5000ms", "1500ms", false), route("book", "/book/", "non_idempotent", "bookings", "5000ms", "1500ms", false)},
		[]map[string]any{service("history", 40), service("bookings", 40)},
		[]map[string]any{tenant("north", "northkey0123456789ab", 200, 200), tenant("south", "southkey0123456789ab", rate, burst)}))
	if err := f.start(); err != nil {
		return false, err
	}
	// An unused burst fills at the tenant's rate.
	time.Sleep(85 * time.Second)
	clients := &answers{}
	begin := time.Now()
	f.press(clients, f.machines, 400, begin.Add(7*time.Second), func() request {
		return request{method: http.MethodPost, host: host, path: "/book/1", key: "southkey0123456789ab", deadline: 3 * time.Second, body: 100}
	})
	time.Sleep(1200 * time.Millisecond)
	if trouble {
		r.say("%.3f s: all nodes are killed", time.Since(r.start).Seconds())
		for _, m := range f.machines {
			m.signal(syscall.SIGKILL)
		}
		time.Sleep(downFor)
		for _, m := range f.machines {
			<-m.ended
			if err := m.restartNode(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(time.Until(begin.Add(8 * time.Second)))
	clients.left.Wait()
	sentAt := make(map[string]time.Time)
	for _, a := range clients.all {
		sentAt[a.id] = a.sentAt
	}
	type span struct{ sent, ran time.Time }
	var spans []span
	for _, m := range f.machines {
		for _, x := range m.worker.runsSoFar() {
			if x.tenant == "south" {
				spans = append(spans, span{sentAt[x.id], x.arrivedAt})
			}
		}
	}
	sort.Slice(spans, func(i, j int) bool { return spans[i].sent.Before(spans[j].sent) })
	most := 0
	for i := range spans {
		n := 0
		for _, s := range spans[i:] {
			if s.ran.Sub(spans[i].sent) <= window {
				n++
			}
		}
		most = max(most, n)
	}
	r.say("most requests of the tenant that were sent and ran within %s: %d, allowed are %.0f", window, most, allowed)
	return float64(most) <= allowed, nil
}
