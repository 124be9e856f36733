package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// pauseFor is how long the collector does not read the log of one node.
	pauseFor = 30 * time.Second
	// The hot tenant sends hotFactor times its usual for hotFor, twice with hotGap between.
	// Its rate is quotaFactor times its usual.
	usualPerSecond = 6.0
	hotFactor      = 7.5
	quotaFactor    = 1.6
	hotFor         = 6500 * time.Millisecond
	hotGap         = 2 * time.Second
	// routeTimeout is the timeout of the route, and lateAfter how much later an answer
	// may come.
	routeTimeout = 5 * time.Second
	lateAfter    = 500 * time.Millisecond
	// minLate is the number of late requests from which the rule counts.
	minLate = 8
)

// playLog lets the log collector of one machine stand still for some time. In its
// beginning one tenant sends many times its usual, twice.
func playLog(f *fleet, isTroubled bool) error {
	for range 3 {
		f.add("booking")
	}
	const northKey, southKey = "k3v9w0q7z5x1c8b2n6m4", "p8d2f6g0h4j7l1a5s9r3"
	c := newConfig("booking")
	c.Version = 7
	c.Routes = []routeDoc{newRoute("book", "book.example", "/visit/", "booking", "non_idempotent")}
	c.Tenants = []tenantDoc{{Name: "north", APIKeys: []string{northKey}}, {Name: "south", APIKeys: []string{southKey}, RatePerS: quotaFactor * usualPerSecond, Burst: quotaFactor * usualPerSecond}}
	f.apply(c)
	if err := f.start(); err != nil {
		return err
	}
	north := call{method: "POST", host: "book.example", path: "/visit/1", key: northKey, budget: 8 * time.Second}
	south := north
	south.key = southKey
	if err := f.waitServed(north, 10*time.Second); err != nil {
		return err
	}
	time.Sleep(stableWindow)
	end := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	keep := func(a answer) {
		mu.Lock()
		defer mu.Unlock()
		answers = append(answers, a)
	}
	for _, load := range []struct {
		c         call
		perSecond float64
	}{{north, 20}, {south, usualPerSecond}} {
		clients.Add(1)
		go func() {
			defer clients.Done()
			f.sendUntil(end, f.machines[0], load.c, intervalOf(load.perSecond), keep)
		}()
	}
	if isTroubled {
		f.record.add("platform", "the collector stops reading the log of %s", f.machines[0].name)
		f.machines[0].logs.pause()
	}
	resumeAt := time.Now().Add(pauseFor)
	for range 2 {
		hotEnd := make(chan struct{})
		clients.Add(1)
		go func() {
			defer clients.Done()
			f.sendUntil(hotEnd, f.machines[0], south, intervalOf((hotFactor-1)*usualPerSecond), keep)
		}()
		time.Sleep(hotFor)
		close(hotEnd)
		time.Sleep(hotGap)
	}
	time.Sleep(time.Until(resumeAt))
	if isTroubled {
		f.record.add("platform", "the collector reads on")
		f.machines[0].logs.resume()
	}
	close(end)
	clients.Wait()
	unanswered, late := 0, 0
	for _, a := range answers {
		if a.took > routeTimeout {
			unanswered++
		}
		if a.took > routeTimeout+lateAfter {
			late++
		}
	}
	f.record.add("client", "%d requests; %d without an answer at the route's timeout, %d of them half a second later", len(answers), unanswered, late)
	if late >= minLate && 2*late > unanswered {
		return fmt.Errorf("%w: CONFIG: of %d requests, %d had no answer at the route's timeout, and %d of these none half a second later",
			errBroken, len(answers), unanswered, late)
	}
	return nil
}

// intervalOf returns the time between two requests at a rate.
func intervalOf(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}
