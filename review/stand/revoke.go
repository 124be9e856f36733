package main

import (
	"net/http"
	"time"
)

const (
	northKey = "northkey0123456789ab"
	southKey = "southkey0123456789ab"
	// strangeKey is a key that no config ever holds.
	strangeKey = "strangekey0123456789"
	// paddedKey is a key in base64 with padding.
	paddedKey = "d2VzdC1uZXctdGVuYW50LWtleQ=="
)

// lastTenantCase withdraws the last tenant of a deployment.
func lastTenantCase(r *record, f *fleet, trouble bool) (bool, error) {
	after := []map[string]any{}
	if !trouble {
		after = []map[string]any{tenant("south", southKey, 400, 400)}
	}
	return withdraw(r, f, []map[string]any{tenant("north", northKey, 400, 400)}, after)
}

// paddedKeyCase withdraws one tenant and adds another one, whose key is base64 text.
func paddedKeyCase(r *record, f *fleet, trouble bool) (bool, error) {
	key := paddedKey
	if !trouble {
		key = southKey
	}
	return withdraw(r, f, []map[string]any{tenant("north", northKey, 400, 400)}, []map[string]any{tenant("west", key, 400, 400)})
}

// withdraw replaces the tenants before by the tenants after. The rules are CONFIG (a request
// sent later than revoke after the ack of a config that took its key away runs) and ROUTE (a
// request runs whose key no config ever held).
func withdraw(r *record, f *fleet, before, after []map[string]any) (bool, error) {
	const (
		revoke  = 5 * time.Second
		presses = 15 * time.Second
	)
	for _, zone := range threeZones {
		f.add(zone, "bookings", 100, 20*time.Millisecond)
	}
	routes := []map[string]any{route("book", "/book/", "non_idempotent", "bookings", "5000ms", "1500ms", false)}
	services := []map[string]any{service("bookings", 40)}
	f.configure(config(3, routes, services, before))
	if err := f.start(); err != nil {
		return false, err
	}
	keyed := func(key string) func() request {
		return func() request {
			return request{method: http.MethodPost, host: host, path: "/book/1", key: key, deadline: 5 * time.Second, body: 200}
		}
	}
	withdrawn, strange := &answers{}, &answers{}
	end := time.Now().Add(3*time.Second + presses)
	f.press(withdrawn, f.machines, 10, end, keyed(northKey))
	f.press(strange, f.machines, 2, end, keyed(strangeKey))
	time.Sleep(3 * time.Second)
	ackAt := f.configure(config(7, routes, services, after))
	r.say("%.3f s: the config that takes the key away is acknowledged", time.Since(r.start).Seconds())
	withdrawn.left.Wait()
	strange.left.Wait()
	ran := make(map[string]bool)
	for _, m := range f.machines {
		for _, x := range m.worker.runsSoFar() {
			ran[x.id] = true
		}
	}
	late, served, lateRuns, last := 0, 0, 0, time.Duration(0)
	for _, a := range withdrawn.all {
		if a.sentAt.Before(ackAt) && a.status == http.StatusOK {
			served++
		}
		if age := a.sentAt.Sub(ackAt); age > revoke {
			late++
			if ran[a.id] {
				lateRuns++
				last = max(last, age)
			}
		}
	}
	strangeRuns := 0
	for _, a := range strange.all {
		if ran[a.id] {
			strangeRuns++
		}
	}
	r.say("with the key, served before it was taken away: %d; sent later than revoke after the ack: %d, of these run: %d, the last %.1f s after the ack",
		served, late, lateRuns, last.Seconds())
	r.say("with a key that no config held: %d sent, %d run", len(strange.all), strangeRuns)
	return lateRuns == 0 && strangeRuns == 0, nil
}
