package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// reuseCase ends a worker and gives its address to a worker of another service. The rule is
// ROUTE: a request is run by a service to which no config ever sent allows it to go.
func reuseCase(r *record, f *fleet, trouble bool) (bool, error) {
	const reuseAfter = 2 * time.Second
	for _, zone := range threeZones {
		f.add(zone, "bookings", 100, 20*time.Millisecond)
		f.add(zone, "history", 100, 20*time.Millisecond)
	}
	f.configure(config(1,
		[]map[string]any{
			route("book", "/book/", "non_idempotent", "bookings", "5000ms", "1500ms", false),
			route("visits", "/visits/", "idempotent", "history", "5000ms", "1500ms", false),
		},
		[]map[string]any{service("bookings", 40), service("history", 40)},
		[]map[string]any{tenant("north", northKey, 1000, 1000)}))
	if err := f.start(); err != nil {
		return false, err
	}
	clients := &answers{}
	end := time.Now().Add(15 * time.Second)
	f.press(clients, f.machines, 20, end, func() request {
		return request{method: http.MethodPost, host: host, path: "/book/1", key: northKey, deadline: 5 * time.Second, body: 200}
	})
	f.press(clients, f.machines, 5, end, func() request {
		return request{method: http.MethodGet, host: host, path: "/visits/1", key: northKey, deadline: 5 * time.Second}
	})
	time.Sleep(3 * time.Second)
	m := f.machines[0]
	old := m.worker
	old.crash()
	if trouble {
		// The settings name the service of the machine's worker, and may change without any
		// signal.
		m.service = "history"
		if err := m.writeSettings(false); err != nil {
			return false, err
		}
		r.line("the settings of %s name the service %s", m.name, m.service)
	}
	time.Sleep(reuseAfter + 200*time.Millisecond)
	next := newWorker(r, fmt.Sprintf("i-%08x", rand.Uint32()), m.service, old.zone, old.address, old.control, old.slots, old.work)
	if err := next.start(); err != nil {
		return false, err
	}
	m.worker = next
	startedAt := time.Now()
	next.beat(heartbeatInterval)
	time.Sleep(time.Until(end))
	clients.left.Wait()
	byID := make(map[string]answer)
	for _, a := range clients.all {
		byID[a.id] = a
	}
	foreign, succeeded, last := 0, 0, time.Duration(0)
	for _, x := range next.runsSoFar() {
		isOwn := strings.HasPrefix(x.path, "/book/") == (next.service == "bookings")
		if isOwn {
			continue
		}
		foreign++
		last = x.at.Sub(startedAt)
		if byID[x.id].status == http.StatusOK {
			succeeded++
		}
	}
	r.say("worker %s of %s: %d runs, of these of a service that it isn't of: %d; answered to their clients as a success: %d", next.id, next.service, len(next.runsSoFar()), foreign, succeeded)
	if foreign > 0 {
		r.say("the last of them %.3f s after the worker's start", last.Seconds())
	}
	mislabelled := 0
	for _, other := range f.machines {
		for _, x := range other.worker.runsSoFar() {
			a := byID[x.id]
			if a.machine == m && a.sentAt.After(startedAt.Add(2*heartbeatInterval)) && x.callerService != m.service {
				mislabelled++
			}
		}
	}
	r.say("requests that began at %s, later than two heartbeats after that, and ran with another X-Caller-Service than %s: %d", m.name, m.service, mislabelled)
	return foreign == 0, nil
}

// probeCase does the same with services whose health probes have different paths. The rule
// is UNASKED: a worker runs a request whose id no client sent.
func probeCase(r *record, f *fleet, trouble bool) (bool, error) {
	const (
		reuseAfter  = 2 * time.Second
		bookingPath = "/health/bookings"
		historyPath = "/health/history"
	)
	for _, zone := range threeZones {
		f.add(zone, "bookings", 100, 20*time.Millisecond).worker.healthPath = bookingPath
		f.add(zone, "history", 100, 20*time.Millisecond).worker.healthPath = historyPath
	}
	bookings, history := service("bookings", 40), service("history", 40)
	bookings["health_check_path"], history["health_check_path"] = bookingPath, historyPath
	f.configure(config(1,
		[]map[string]any{
			route("book", "/book/", "non_idempotent", "bookings", "5000ms", "1500ms", false),
			route("visits", "/visits/", "idempotent", "history", "5000ms", "1500ms", false),
		},
		[]map[string]any{bookings, history},
		[]map[string]any{tenant("north", northKey, 1000, 1000)}))
	if err := f.start(); err != nil {
		return false, err
	}
	clients := &answers{}
	end := time.Now().Add(15 * time.Second)
	f.press(clients, f.machines, 20, end, func() request {
		return request{method: http.MethodPost, host: host, path: "/book/1", key: northKey, deadline: 5 * time.Second, body: 200}
	})
	time.Sleep(3 * time.Second)
	m := f.machines[0]
	old := m.worker
	old.crash()
	time.Sleep(reuseAfter + 200*time.Millisecond)
	next := newWorker(r, fmt.Sprintf("i-%08x", rand.Uint32()), old.service, old.zone, old.address, old.control, old.slots, old.work)
	next.healthPath = bookingPath
	if trouble {
		next.service, next.healthPath = "history", historyPath
		m.service = next.service
		if err := m.writeSettings(false); err != nil {
			return false, err
		}
	}
	if err := next.start(); err != nil {
		return false, err
	}
	m.worker = next
	next.beat(heartbeatInterval)
	time.Sleep(time.Until(end))
	clients.left.Wait()
	sent := make(map[string]bool)
	for _, a := range clients.all {
		sent[a.id] = true
	}
	unasked := 0
	for _, x := range next.runsSoFar() {
		if !sent[x.id] {
			unasked++
			r.say("worker %s of %s ran %s, id %s, which no client sent", next.id, next.service, x.path, x.id)
		}
	}
	return unasked == 0, nil
}
