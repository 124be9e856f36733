package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playOdd lets another writer send one heartbeat in the name of a worker. Later the
// worker says that it leaves.
func playOdd(f *fleet, isTroubled bool) error {
	first, second := f.add("booking"), f.add("booking")
	const key = "k3v9w0q7z5x1c8b2n6m4"
	c := newConfig("booking")
	c.Version = 7
	c.Routes = []routeDoc{newRoute("book", "book.example", "/visit/", "booking", "non_idempotent")}
	c.Tenants = []tenantDoc{{Name: "north", APIKeys: []string{key}}}
	f.apply(c)
	if err := f.start(); err != nil {
		return err
	}
	book := call{method: "POST", host: "book.example", path: "/visit/1", key: key, budget: 5 * time.Second}
	if err := f.waitServed(book, 10*time.Second); err != nil {
		return err
	}
	time.Sleep(stableWindow)
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
	if isTroubled {
		w := first.worker
		body := fmt.Sprintf(`{"born":%d,"server_info":{"service":%q,"slots":60},"status":{"state":"ready","sequence":%d}}`, w.born, w.service, time.Now().Unix())
		w.call(http.MethodPut, body, "heartbeat of another writer, without address, zone, version and cold_remaining: "+body)
	}
	time.Sleep(2 * stableWindow)
	return f.checkDrain(first.worker)
}
