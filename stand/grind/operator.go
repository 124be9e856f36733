package grind

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const host = "registry.example"

// limitedWorkspace is the only workspace whose rate is low enough for its callers to
// exceed it.
const limitedWorkspace = "cumulus"

// workspaces are the names of all workspaces. Each has one key in force.
var workspaces = []string{"aurora", "boreal", limitedWorkspace}

// temporaryRoute is the route that configuration changes add and remove.
const temporaryRoute = "passing"

// operator stands in for the operators: it writes the configuration and
// evacuation documents and records the changes in the history.
type operator struct {
	store interface {
		Put(key string, value []byte) int64
		Remove(key string)
	}
	history *history

	mu      sync.Mutex
	version int
	// keys holds the keys of each workspace in the order in which they were added.
	// Only the last one is in force.
	keys              map[string][]string
	hasTemporaryRoute bool
	// rate is the rate of limitedWorkspace, in requests per second.
	rate float64
	// closedZone is the zone being evacuated, or "".
	closedZone string
}

const (
	// lowRate and highRate are the two rates of limitedWorkspace, in requests per
	// second. Its rate alternates between them.
	lowRate, highRate = 30.0, 60.0
	// limitedBurst is the burst of limitedWorkspace, in requests.
	limitedBurst = 20.0
)

func newOperator(c *cluster) *operator {
	o := &operator{store: c.store, history: &c.history, keys: make(map[string][]string), rate: highRate}
	for _, w := range workspaces {
		o.addKey(w)
	}
	return o
}

func (o *operator) addKey(workspace string) {
	o.keys[workspace] = append(o.keys[workspace], fmt.Sprintf("key-%d-of-workspace-%s", len(o.keys[workspace]), workspace))
}

// key returns the key of a workspace that is in force. If wantWithdrawn is set, it
// returns instead the key that was withdrawn last, if there is one.
func (o *operator) key(workspace string, wantWithdrawn bool) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	workspaceKeys := o.keys[workspace]
	if wantWithdrawn && len(workspaceKeys) > 1 {
		return workspaceKeys[len(workspaceKeys)-2]
	}
	return workspaceKeys[len(workspaceKeys)-1]
}

// writeFirstConfig writes the first configuration.
func (o *operator) writeFirstConfig() {
	o.mu.Lock()
	defer o.mu.Unlock()
	at := o.writeConfig()
	for _, w := range workspaces {
		o.history.addChange(Change{At: at, Kind: KeyAdded, Object: o.keys[w][0]})
	}
	o.history.addChange(Change{At: at, Kind: RateSet, Object: limitedWorkspace, Rate: o.rate, Burst: limitedBurst})
}

// makeRandomChange makes one change of a random kind and returns its
// description.
func (o *operator) makeRandomChange(random *rand.Rand) string {
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
	return o.toggleZone(zoneNames[random.IntN(len(zoneNames))])
}

func (o *operator) replaceKey(workspace string) string {
	oldKey := o.keys[workspace][len(o.keys[workspace])-1]
	o.addKey(workspace)
	at := o.writeConfig()
	o.history.addChange(Change{At: at, Kind: KeyWithdrawn, Object: oldKey})
	o.history.addChange(Change{At: at, Kind: KeyAdded, Object: o.keys[workspace][len(o.keys[workspace])-1]})
	return "withdrew " + oldKey
}

func (o *operator) toggleRoute() string {
	o.hasTemporaryRoute = !o.hasTemporaryRoute
	kind := RouteRemoved
	if o.hasTemporaryRoute {
		kind = RouteAdded
	}
	o.history.addChange(Change{At: o.writeConfig(), Kind: kind, Object: temporaryRoute})
	return string(kind)
}

func (o *operator) changeRate() string {
	o.rate = lowRate + highRate - o.rate
	o.history.addChange(Change{At: o.writeConfig(), Kind: RateSet, Object: limitedWorkspace, Rate: o.rate, Burst: limitedBurst})
	return fmt.Sprintf("rate %g", o.rate)
}

// toggleZone starts the evacuation of a zone, or ends the current evacuation if
// there is one, whatever its zone. It returns a description of the change.
func (o *operator) toggleZone(zone string) string {
	if o.closedZone == "" {
		o.closedZone = zone
		o.store.Put("op/evacuate/"+zone, []byte("{}"))
		o.history.addChange(Change{At: time.Now(), Kind: ZoneClosed, Object: zone})
		return "closed " + zone
	}
	zone, o.closedZone = o.closedZone, ""
	o.history.addChange(Change{At: time.Now(), Kind: ZoneOpened, Object: zone})
	o.store.Remove("op/evacuate/" + zone)
	return "opened " + zone
}

// reopenZone ends the evacuation, if there is one.
func (o *operator) reopenZone() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closedZone != "" {
		o.toggleZone(o.closedZone)
	}
}

// writeConfig writes the configuration and returns the time at which the write
// was complete.
func (o *operator) writeConfig() time.Time {
	o.version += 3
	o.store.Put("op/config", o.document())
	return time.Now()
}

// document returns the configuration document in JSON.
func (o *operator) document() []byte {
	route := func(name, prefix, kind, service string, allowAnonymous bool) map[string]any {
		return map[string]any{
			"name": name, "hostname": host, "prefix": prefix, "kind": kind, "timeout": "3s", "target_latency": "800ms",
			"priority": 1, "service": service, "max_attempts": 2, "allow_anonymous": allowAnonymous,
		}
	}
	routes := []map[string]any{
		route("look", "/look/", "idempotent", "search", false),
		route("lodge", "/lodge/", "non_idempotent", "custody", false),
		route("custody-read", "/custody/", "idempotent", "custody", true),
		route("venue-read", "/venue/", "idempotent", "ceremony", true),
	}
	if o.hasTemporaryRoute {
		routes = append(routes, route(temporaryRoute, "/"+temporaryRoute+"/", "idempotent", "ceremony", false))
	}
	services, tenants := []map[string]any{}, []map[string]any{}
	for _, name := range serviceNames {
		services = append(services, map[string]any{"name": name, "health_check_path": "/health", "cold_start": "2s", "cold_per_s": coldRate})
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
