package main

import (
	"sync"
	"time"
)

const (
	// clockStep is how far the time of day jumps ahead, and clockStepFor for how long.
	clockStep    = 2 * time.Second
	clockStepFor = 5 * time.Second
	// downFor is how long the worker is down after a crash.
	downFor = 900 * time.Millisecond
)

// playClock lets a worker crash and start again under its id while the time of day of
// its machine is ahead, and once more after it has jumped back. Later the worker says
// that it leaves.
func playClock(f *fleet, isTroubled bool) error {
	first, second := f.add("booking"), f.add("booking")
	started := time.Now()
	aheadFrom := started.Add(8 * time.Second)
	first.worker.timeOfDay = func() time.Time {
		now := time.Now()
		if isTroubled && now.After(aheadFrom) && now.Before(aheadFrom.Add(clockStepFor)) {
			return now.Add(clockStep)
		}
		return now
	}
	c := newConfig("booking")
	c.Version = 7
	c.Routes = []routeDoc{newRoute("book", "book.example", "/visit/", "booking", "non_idempotent")}
	c.Tenants = []tenantDoc{{Name: "north", APIKeys: []string{"k3v9w0q7z5x1c8b2n6m4"}}}
	f.apply(c)
	if err := f.start(); err != nil {
		return err
	}
	book := call{method: "POST", host: "book.example", path: "/visit/1", key: "k3v9w0q7z5x1c8b2n6m4", budget: 5 * time.Second}
	if err := f.waitServed(book, 6*time.Second); err != nil {
		return err
	}
	end := make(chan struct{})
	var clients sync.WaitGroup
	for _, m := range []*machine{first, second} {
		clients.Add(1)
		go func() {
			defer clients.Done()
			f.sendUntil(end, m, book, 50*time.Millisecond, func(answer) {})
		}()
	}
	defer func() { close(end); clients.Wait() }()

	stepBack := aheadFrom.Add(clockStepFor)
	f.restart(first, stepBack.Add(-700*time.Millisecond-downFor))
	f.restart(first, stepBack.Add(200*time.Millisecond))

	time.Sleep(stableWindow + 3*time.Second)
	return f.checkDrain(first.worker)
}

// restart crashes the worker of m at a time and starts it again after downFor.
func (f *fleet) restart(m *machine, at time.Time) {
	time.Sleep(time.Until(at))
	m.worker.end("crashes")
	time.Sleep(downFor)
	if err := m.worker.start(); err != nil {
		f.record.add("worker", "not started: %v", err)
	}
}

// sendUntil sends a call each interval until end is closed, and passes the answers to keep.
func (f *fleet) sendUntil(end chan struct{}, m *machine, c call, interval time.Duration, keep func(answer)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-end:
			return
		case <-ticker.C:
		}
		running.Add(1)
		go func() {
			defer running.Done()
			keep(f.send(m, c))
		}()
	}
}
