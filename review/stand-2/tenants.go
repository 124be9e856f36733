package main

import (
	"fmt"
	"net/http"
	"time"
)

// revokeBound is the time after which a withdrawn key must not be accepted.
const revokeBound = 5 * time.Second

// playTenants withdraws the last tenant of a deployment. Without trouble the deployment
// keeps another tenant.
func playTenants(f *fleet, isTroubled bool) error {
	for range 3 {
		f.add("booking")
	}
	north := tenantDoc{Name: "north", APIKeys: []string{"k3v9w0q7z5x1c8b2n6m4"}}
	south := tenantDoc{Name: "south", APIKeys: []string{"p8d2f6g0h4j7l1a5s9r3"}}
	c := newConfig("booking")
	c.Version = 7
	c.Routes = []routeDoc{newRoute("book", "book.example", "/visit/", "booking", "non_idempotent")}
	c.Tenants = []tenantDoc{north}
	if !isTroubled {
		c.Tenants = append(c.Tenants, south)
	}
	f.apply(c)
	if err := f.start(); err != nil {
		return err
	}
	withdrawn := call{method: "POST", host: "book.example", path: "/visit/1", key: north.APIKeys[0], budget: 5 * time.Second}
	unknown := withdrawn
	unknown.key = "z0z0z0z0z0z0z0z0z0z0"
	if err := f.waitServed(withdrawn, 10*time.Second); err != nil {
		return err
	}
	for _, m := range f.machines {
		if status := f.send(m, unknown).status; status != http.StatusUnauthorized {
			return fmt.Errorf("an unknown key got %d before the change", status)
		}
	}
	time.Sleep(stableWindow)
	c.Version = 12
	c.Tenants = c.Tenants[1:]
	acked := f.apply(c)
	time.Sleep(time.Until(acked.Add(revokeBound + 500*time.Millisecond)))
	served, strangers := 0, 0
	for range 10 {
		for _, m := range f.machines {
			if f.send(m, withdrawn).status == http.StatusOK {
				served++
			}
			if f.send(m, unknown).status == http.StatusOK {
				strangers++
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	if served+strangers > 0 {
		return fmt.Errorf("%w: CONFIG: %d of 30 requests with the withdrawn key were served later than %s after the acknowledgement; ROUTE: %d of 30 with a key that no version ever held",
			errBroken, served, revokeBound, strangers)
	}
	return nil
}
