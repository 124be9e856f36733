package main

import (
	"fmt"
	"time"
)

const (
	// stormGap is the pause between two versions, and stormFor how long they come.
	stormGap = 80 * time.Millisecond
	stormFor = 2 * time.Second
	// The configuration has grown by routesAdded routes growths times before.
	routesAdded = 350
	growths     = 4
	// turnedAwayFor is how long the store turns two machines away.
	turnedAwayFor = 9 * time.Second
)

// playStorm writes versions in quick succession while the store turns the two machines
// away that read it. Later it checks that the last version is in force.
func playStorm(f *fleet, isTroubled bool) error {
	services := []string{"search", "booking"}
	for i := range 6 {
		f.add(services[i%2])
	}
	c := newConfig(services...)
	c.Version = 7
	c.Routes = []routeDoc{newRoute("search", "book.example", "/search/", "search", "idempotent"), newRoute("book", "book.example", "/visit/", "booking", "non_idempotent")}
	c.Tenants = []tenantDoc{{Name: "north", APIKeys: []string{"k3v9w0q7z5x1c8b2n6m4"}}}
	f.apply(c)
	if err := f.start(); err != nil {
		return err
	}
	search := call{method: "GET", host: "book.example", path: "/search/1", key: "k3v9w0q7z5x1c8b2n6m4", budget: 5 * time.Second}
	if err := f.waitServed(search, 10*time.Second); err != nil {
		return err
	}
	for range growths {
		for range routesAdded {
			name := fmt.Sprintf("added-%05d", len(c.Routes))
			c.Routes = append(c.Routes, newRoute(name, name+".registry.example", "/"+name+"/", "search", "idempotent"))
		}
		c.Version += 3
		f.apply(c)
		time.Sleep(time.Second)
	}
	readers := f.readers()
	f.record.add("store", "the machines that read it: %v", readers)
	if isTroubled {
		until := time.Now().Add(turnedAwayFor)
		f.store.setTurnedAway(func(ip string) bool { return time.Now().Before(until) && (ip == readers[0] || ip == readers[1]) })
		f.record.add("store", "turns %v away for %s", readers, turnedAwayFor)
	}
	var acked time.Time
	stormEnd := time.Now().Add(stormFor)
	for n := 0; time.Now().Before(stormEnd); n++ {
		name := fmt.Sprintf("storm-%02d", n)
		c.Routes = append(c.Routes, newRoute(name, "book.example", "/"+name+"/", "search", "idempotent"))
		c.Version += 2
		acked = f.apply(c)
		time.Sleep(stormGap)
	}
	last := search
	last.path = c.Routes[len(c.Routes)-1].Prefix + "1"
	// The machines and the store are without trouble for the stable window.
	time.Sleep(turnedAwayFor - stormFor + stableWindow + 500*time.Millisecond)
	f.record.add("client", "requests on a route that was acknowledged %s ago", time.Since(acked).Round(time.Millisecond))
	unknown, refused, sent := 0, 0, 0
	for range 5 {
		for _, m := range f.machines {
			sent++
			switch f.send(m, last).status {
			case 404, 401, 403:
				unknown++
			case 503:
				refused++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	f.record.add("client", "%d requests: %d answered 404, %d answered 503", sent, unknown, refused)
	if unknown > 0 {
		return fmt.Errorf("%w: CONFIG: %d of %d requests on a route that was acknowledged more than %s before got 404", errBroken, unknown, sent, configApplyBound)
	}
	return nil
}

// readers returns the store's addresses for the two machines with the most watch calls
// in some time.
func (f *fleet) readers() []string {
	before := f.store.watchCounts()
	time.Sleep(1500 * time.Millisecond)
	after := f.store.watchCounts()
	best := []string{"", ""}
	rank := func(ip string) int { return after[ip] - before[ip] }
	for ip := range after {
		switch {
		case rank(ip) > rank(best[0]):
			best[0], best[1] = ip, best[0]
		case rank(ip) > rank(best[1]):
			best[1] = ip
		}
	}
	return best
}
