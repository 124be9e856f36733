package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// manyRoutes is the number of routes on which clients book.
	manyRoutes = 1400
	// crashes of the worker of the inner service last crashFor, with upFor between.
	crashes  = 3
	crashFor = 4500 * time.Millisecond
	upFor    = 2 * time.Second
	// recoveryBound is the time after which the fleet must serve again.
	recoveryBound = 15 * time.Second
	// perMachine is the number of requests per second at each machine.
	perMachine = 200.0
	// measuredFor is how long requests are counted before the faults and after the
	// recovery.
	measuredFor = 5 * time.Second
)

// playRoutes lets the only worker of an inner service crash while clients use many routes.
func playRoutes(f *fleet, isTroubled bool) error {
	const key = "k3v9w0q7z5x1c8b2n6m4"
	const innerHost = "inner.example"
	for _, service := range []string{"bookings", "bookings", "venues-index", "search"} {
		f.add(service)
	}
	inner := f.machines[2]
	for _, m := range f.machines[:2] {
		m.worker.callInner = func(budget time.Duration) bool {
			c := call{method: http.MethodGet, host: innerHost, path: "/venue/1", budget: min(budget, 700*time.Millisecond)}
			return f.send(m, c).status == http.StatusOK
		}
	}
	c := newConfig("bookings", "venues-index", "search")
	c.Version = 7
	venue := newRoute("venue-index-read", innerHost, "/venue/", "venues-index", "idempotent")
	venue.AllowAnonymous, venue.Timeout = true, "700ms"
	c.Routes = []routeDoc{venue, newRoute("search", "book.example", "/search/", "search", "idempotent")}
	var calls []call
	for i := range manyRoutes {
		name := fmt.Sprintf("north-registry-ceremony-booking-unit-%04d", i)
		prefix := fmt.Sprintf("/u%04d/", i)
		c.Routes = append(c.Routes, newRoute(name, "book.example", prefix, "bookings", "non_idempotent"))
		calls = append(calls, call{method: http.MethodPost, host: "book.example", path: prefix + "1", key: key, budget: 5 * time.Second})
	}
	c.Tenants = []tenantDoc{{Name: "north", APIKeys: []string{key}}}
	f.apply(c)
	if err := f.start(); err != nil {
		return err
	}
	if err := f.waitServed(calls[0], 10*time.Second); err != nil {
		return err
	}
	time.Sleep(2 * stableWindow)
	search := call{method: http.MethodGet, host: "book.example", path: "/search/1", key: key, budget: 5 * time.Second}
	var mu sync.Mutex
	var answers []answer
	keep := func(a answer) {
		mu.Lock()
		defer mu.Unlock()
		answers = append(answers, a)
	}
	end := make(chan struct{})
	var clients sync.WaitGroup
	for _, m := range f.machines {
		clients.Add(2)
		go func() {
			defer clients.Done()
			f.sendInTurn(end, m, calls, intervalOf(perMachine), keep)
		}()
		go func() {
			defer clients.Done()
			f.sendUntil(end, m, search, 50*time.Millisecond, keep)
		}()
	}
	startAt := time.Now()
	time.Sleep(measuredFor)
	faultsAt := time.Now()
	for range crashes {
		if isTroubled {
			inner.worker.end("crashes")
		}
		time.Sleep(crashFor)
		if isTroubled {
			if err := inner.worker.start(); err != nil {
				return err
			}
		}
		time.Sleep(upFor)
	}
	backAt := time.Now().Add(-upFor)
	time.Sleep(time.Until(backAt.Add(recoveryBound + measuredFor)))
	close(end)
	clients.Wait()
	before, after := servedShare(answers, startAt, faultsAt), servedShare(answers, backAt.Add(recoveryBound), backAt.Add(recoveryBound+measuredFor))
	f.record.add("client", "served: %.3f before the faults, %.3f from %s after the worker is back", before, after, recoveryBound)
	if before >= 0.25 && after < 0.25 {
		return fmt.Errorf("%w: RECOVER: %.3f of the requests sent later than %s after the worker was back are served, %.3f before the faults",
			errBroken, after, recoveryBound, before)
	}
	return nil
}

// sendInTurn sends the calls one after the other until end is closed.
func (f *fleet) sendInTurn(end chan struct{}, m *machine, calls []call, interval time.Duration, keep func(answer)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for i := 0; ; i++ {
		select {
		case <-end:
			return
		case <-ticker.C:
		}
		running.Add(1)
		go func() {
			defer running.Done()
			keep(f.send(m, calls[i%len(calls)]))
		}()
	}
}

// servedShare returns the share of the requests sent in a time that were served.
func servedShare(answers []answer, from, to time.Time) float64 {
	served, sent := 0, 0
	for _, a := range answers {
		if a.sentAt.Before(from) || !a.sentAt.Before(to) {
			continue
		}
		sent++
		if a.status == http.StatusOK && a.signed {
			served++
		}
	}
	return float64(served) / float64(max(sent, 1))
}

// intervalOf returns the time between two requests at a rate.
func intervalOf(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}
