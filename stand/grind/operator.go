package grind

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const host = "registry.example"

// limitedWorkspace has a rate that its callers go beyond.
const limitedWorkspace = "cumulus"

// workspaces have one key each at a time.
var workspaces = []string{"aurora", "boreal", limitedWorkspace}

// passingRoute comes and goes with the configurations.
const passingRoute = "passing"

// operator writes the operators' documents and remembers what they held.
type operator struct {
	store interface {
		Put(key string, value []byte) int64
		Remove(key string)
	}
	history *history

	mu      sync.Mutex
	version int
	// keys holds those of each workspace that were ever in force; the last one
	// is.
	keys    map[string][]string
	passing bool
	rate    float64
	closed  string
}

// The rates of the limited workspace, in requests a second, and its burst.
const (
	lowRate, highRate = 30.0, 60.0
	limitedBurst      = 20.0
)

func newOperator(p *place) *operator {
	o := &operator{store: p.store, history: &p.history, keys: make(map[string][]string), rate: highRate}
	for _, w := range workspaces {
		o.addKey(w)
	}
	return o
}

func (o *operator) addKey(workspace string) {
	o.keys[workspace] = append(o.keys[workspace], fmt.Sprintf("key-%d-of-workspace-%s", len(o.keys[workspace]), workspace))
}

// key returns the key of a workspace in force, or one that was withdrawn.
func (o *operator) key(workspace string, withdrawn bool) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := o.keys[workspace]
	if withdrawn && len(all) > 1 {
		return all[len(all)-2]
	}
	return all[len(all)-1]
}

// begin writes the first configuration.
func (o *operator) begin() {
	o.mu.Lock()
	defer o.mu.Unlock()
	at := o.write()
	for _, w := range workspaces {
		o.history.change(Change{At: at, Kind: KeyAdded, What: o.keys[w][0]})
	}
	o.history.change(Change{At: at, Kind: RateSet, What: limitedWorkspace, Rate: o.rate, Burst: limitedBurst})
}

// alter makes one change of a random kind.
func (o *operator) alter(random *rand.Rand) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch random.IntN(4) {
	case 0:
		return o.replaceKey(workspaces[random.IntN(len(workspaces))])
	case 1:
		return o.toggleRoute()
	case 2:
		return o.changeRate()
	}
	return o.toggleZone(zones[random.IntN(len(zones))])
}

func (o *operator) replaceKey(workspace string) string {
	old := o.keys[workspace][len(o.keys[workspace])-1]
	o.addKey(workspace)
	at := o.write()
	o.history.change(Change{At: at, Kind: KeyWithdrawn, What: old})
	o.history.change(Change{At: at, Kind: KeyAdded, What: o.keys[workspace][len(o.keys[workspace])-1]})
	return "withdrew " + old
}

func (o *operator) toggleRoute() string {
	o.passing = !o.passing
	kind := RouteRemoved
	if o.passing {
		kind = RouteAdded
	}
	o.history.change(Change{At: o.write(), Kind: kind, What: passingRoute})
	return string(kind)
}

func (o *operator) changeRate() string {
	o.rate = lowRate + highRate - o.rate
	o.history.change(Change{At: o.write(), Kind: RateSet, What: limitedWorkspace, Rate: o.rate, Burst: limitedBurst})
	return fmt.Sprintf("rate %g", o.rate)
}

func (o *operator) toggleZone(zone string) string {
	if o.closed == "" {
		o.closed = zone
		o.store.Put("op/evacuate/"+zone, []byte("{}"))
		o.history.change(Change{At: time.Now(), Kind: ZoneClosed, What: zone})
		return "closed " + zone
	}
	zone, o.closed = o.closed, ""
	o.history.change(Change{At: time.Now(), Kind: ZoneOpened, What: zone})
	o.store.Remove("op/evacuate/" + zone)
	return "opened " + zone
}

// settle brings back what calm is judged by.
func (o *operator) settle() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed != "" {
		o.toggleZone(o.closed)
	}
}

// write writes the configuration and returns when that was done.
func (o *operator) write() time.Time {
	o.version += 3
	o.store.Put("op/config", o.config())
	return time.Now()
}

// config returns the operators' document.
func (o *operator) config() []byte {
	route := func(name, prefix, kind, service string, open bool) map[string]any {
		return map[string]any{
			"name": name, "hostname": host, "prefix": prefix, "kind": kind, "timeout": "3s", "target_latency": "800ms",
			"priority": 1, "service": service, "max_attempts": 2, "allow_anonymous": open,
		}
	}
	routes := []map[string]any{
		route("look", "/look/", "idempotent", "search", false),
		route("lodge", "/lodge/", "non_idempotent", "custody", false),
		route("custody-read", "/custody/", "idempotent", "custody", true),
		route("venue-read", "/venue/", "idempotent", "ceremony", true),
	}
	if o.passing {
		routes = append(routes, route(passingRoute, "/"+passingRoute+"/", "idempotent", "ceremony", false))
	}
	services, tenants := []map[string]any{}, []map[string]any{}
	for _, name := range serviceNames {
		services = append(services, map[string]any{"name": name, "health_check_path": "/health", "cold_start": "2s", "cold_per_s": coldPerS})
	}
	for _, name := range workspaces {
		rate, burst := 100_000.0, 100_000.0
		if name == limitedWorkspace {
			rate, burst = o.rate, limitedBurst
		}
		tenants = append(tenants, map[string]any{
			"name": name, "api_keys": o.keys[name][len(o.keys[name])-1:], "rate_per_s": rate, "burst": burst,
		})
	}
	text, err := json.Marshal(map[string]any{
		"version": o.version, "services": services, "tenants": tenants, "routes": routes,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout": "3s", "idle_timeout": "15s"},
	})
	if err != nil {
		panic(err)
	}
	return text
}
