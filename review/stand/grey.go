package main

import (
	"net/http"
	"time"
)

// greyCase lets the workers of a service fail part of their requests, with long answers. The
// rule is MIXED: an answer that ends early must not look complete.
func greyCase(r *record, f *fleet, trouble bool) (bool, error) {
	const (
		share   = 0.55
		greyFor = 8500 * time.Millisecond
	)
	for _, zone := range threeZones {
		f.add(zone, "history", 100, 20*time.Millisecond)
	}
	f.configure(config(1,
		[]map[string]any{route("visits", "/visits/", "idempotent", "history", "5000ms", "1500ms", false)},
		[]map[string]any{service("history", 40)},
		[]map[string]any{tenant("north", northKey, 1000, 1000)}))
	if err := f.start(); err != nil {
		return false, err
	}
	clients := &answers{}
	end := time.Now().Add(3*time.Second + greyFor + 3*time.Second)
	f.press(clients, f.machines, 20, end, func() request {
		return request{method: http.MethodGet, host: host, path: "/visits/1", key: northKey, deadline: 5 * time.Second}
	})
	time.Sleep(3 * time.Second)
	if trouble {
		for _, m := range f.machines {
			m.worker.setFailing(share)
		}
		time.Sleep(greyFor)
		for _, m := range f.machines {
			m.worker.setFailing(0)
		}
	}
	clients.left.Wait()
	whole, early, cut := 0, 0, 0
	for _, a := range clients.all {
		switch {
		case a.status == 0:
			cut++
		case a.status != http.StatusInternalServerError || a.signature == "":
		case a.body == failureText:
			whole++
		default:
			early++
			if early <= 3 {
				r.say("request %s: complete answer %d with %d of the %d bytes of the worker's body, signature %s", a.id, a.status, len(a.body), len(failureText), a.signature)
			}
		}
	}
	r.say("%d requests; failures of workers that clients got whole: %d, as complete answers that end early: %d; channels cut: %d", len(clients.all), whole, early, cut)
	return early == 0, nil
}
