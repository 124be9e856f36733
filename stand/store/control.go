package store

import (
	"encoding/json"
	"net/http"
)

// LapseRequest is the body of POST /lapse, which expires a lease immediately and
// so deletes its keys.
type LapseRequest struct {
	// Lease is the lease id.
	Lease int64
}

// Control returns the handler of the control interface: POST /fault sets the
// fault, POST /lapse expires a lease, and GET /counts returns Counts.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", s.serveFault)
	mux.HandleFunc("POST /lapse", s.serveLapse)
	mux.HandleFunc("GET /counts", s.serveCounts)
	return mux
}

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil || !fault.valid() {
		http.Error(w, "Mode must be None, Down, Slow or LoseAnswers, Share from 0 to 1", http.StatusBadRequest)
		return
	}
	s.faults.set(fault)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveLapse(w http.ResponseWriter, r *http.Request) {
	var lapse LapseRequest
	if err := json.NewDecoder(r.Body).Decode(&lapse); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if _, ok := s.table.revoke(lapse.Lease); !ok {
		http.Error(w, "no such lease", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.counts.snapshot())
}
