package target

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Health is the answer of GET /health on the control interface. A trial sets it
// with POST /health, regardless of how the target actually works, to simulate a
// misleading health check.
type Health struct {
	Healthy bool
	Load    float64
}

// controlRequest is the body of every POST to the control interface. Each path
// uses only the fields that newControl lists for it.
type controlRequest struct {
	Factor  float64
	Share   float64
	Seconds float64
	Healthy bool
	Load    float64
}

// control is the HTTP interface through which a trial injects faults into the
// target.
type control struct {
	capacity *Capacity
	mu       sync.Mutex
	health   Health
}

// newControl returns the handler of the control interface: POST /slow {Factor},
// /fail {Share}, /truncate {Share}, /cold {Seconds} and /health {Healthy, Load},
// and GET /stats and /health.
func newControl(capacity *Capacity) http.Handler {
	c := &control{capacity: capacity, health: Health{Healthy: true}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /slow", c.handlePost(func(request controlRequest) {
		c.capacity.UpdateFaults(func(f *Faults) { f.SlowFactor = request.Factor })
	}))
	mux.HandleFunc("POST /fail", c.handlePost(func(request controlRequest) {
		c.capacity.UpdateFaults(func(f *Faults) { f.FailShare = request.Share })
	}))
	mux.HandleFunc("POST /truncate", c.handlePost(func(request controlRequest) {
		c.capacity.UpdateFaults(func(f *Faults) { f.TruncateShare = request.Share })
	}))
	mux.HandleFunc("POST /cold", c.handlePost(func(request controlRequest) {
		c.capacity.TurnCold(time.Now(), time.Duration(request.Seconds*float64(time.Second)))
	}))
	mux.HandleFunc("POST /health", c.handlePost(c.setHealth))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		c.mu.Lock()
		health := c.health
		c.mu.Unlock()
		writeJSON(w, health)
	})
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, c.capacity.Stats(time.Now()))
	})
	return mux
}

func (c *control) setHealth(request controlRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.health = Health{Healthy: request.Healthy, Load: request.Load}
}

// handlePost returns a handler that decodes a controlRequest, passes it to apply
// and answers 204, or 400 when the body is not valid JSON.
func (c *control) handlePost(apply func(controlRequest)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request controlRequest
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		apply(request)
		w.WriteHeader(http.StatusNoContent)
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
