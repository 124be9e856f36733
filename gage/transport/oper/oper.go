// Package oper is the HTTP interface for the operators of a node: metrics, health,
// status, explanations of requests, changes of the configuration, and profiles.
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

// Node is the part of a node that the operators' interface uses.
type Node interface {
	// Ready reports whether the node accepts requests, and the reason if it does
	// not.
	Ready() (bool, string)
	// Status returns the state of the node and the members that it knows.
	Status() oper.Status
	// Apply applies a configuration file to the fleet.
	Apply(ctx context.Context, request oper.ApplyRequest) apply.Result
}

// Handler returns the handler for the operators' address. It serves the metrics of
// metricSet and of the process, and explains requests from recentEvents.
func Handler(node Node, metricSet *metrics.Set, recentEvents *recent.Ring) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metricSet.WritePrometheus(w)
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
		writeJSON(w, oper.Explanation{RequestID: id, Events: recentEvents.Events(id)})
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
	ready, reason := node.Ready()
	if !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the operator has closed the connection.
	_ = json.NewEncoder(w).Encode(value)
}
