// Package oper serves the operators of a node: metrics, health, status,
// explanations and profiles.
package oper

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"github.com/VictoriaMetrics/metrics"

	"github.com/greengagewind/greengagewind/gage/coordination/apply"
	"github.com/greengagewind/greengagewind/gage/protocol/oper"
	"github.com/greengagewind/greengagewind/gage/state/recent"
)

// Node is what operators may ask of a node.
type Node interface {
	// Ready reports whether the node takes requests, and why not.
	Ready() (bool, string)
	Status() oper.Status
	// Apply puts an operators' file in force.
	Apply(ctx context.Context, request oper.ApplyRequest) apply.Result
}

// Handler returns the handler for the operators' address.
func Handler(node Node, set *metrics.Set, ring *recent.Ring) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("alive\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		writeReady(w, node)
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, node.Status())
	})
	mux.HandleFunc("GET /v1/explain/{RequestID}", func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("RequestID")
		writeJSON(w, oper.Explanation{RequestID: id, Events: ring.Events(id)})
	})
	mux.HandleFunc("POST "+oper.PathApply, func(w http.ResponseWriter, r *http.Request) {
		serveApply(w, r, node)
	})
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return mux
}

func writeReady(w http.ResponseWriter, node Node) {
	ready, why := node.Ready()
	if !ready {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the operator is gone.
	_ = json.NewEncoder(w).Encode(value)
}
