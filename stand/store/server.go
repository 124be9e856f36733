package store

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/greengagewind/greengagewind/gage/protocol/kvmsg"
)

// maxRequestBytes bounds a request body. It has room for a value of
// gage.MaxValueBytes in base64.
const maxRequestBytes = 2 << 20

// Server is the in-memory store with its fault injection.
type Server struct {
	table  *table
	faults *faultInjector
	counts *callCounter
}

// New returns an empty store. seed seeds the random selection of calls that get a
// fault.
func New(seed uint64) *Server {
	return &Server{table: newTable(), faults: newFaultInjector(seed), counts: &callCounter{}}
}

// Handler returns the handler of the store's API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+kvmsg.PathRange, s.call(countRange, s.serveRange))
	mux.HandleFunc("POST "+kvmsg.PathTxn, s.call(countTxn, s.serveTxn))
	mux.HandleFunc("POST "+kvmsg.PathGrant, s.call(countGrant, s.serveGrant))
	mux.HandleFunc("POST "+kvmsg.PathKeepAlive, s.call(countKeepAlive, s.serveKeepAlive))
	mux.HandleFunc("POST "+kvmsg.PathRevoke, s.call(countRevoke, s.serveRevoke))
	mux.HandleFunc("POST "+kvmsg.PathWatch, s.serveWatch)
	return mux
}

// operation executes a call with the given request body and returns the response.
type operation func(now time.Time, body []byte) (any, error)

// call returns a handler that counts a call, injects the current fault and runs the
// operation.
func (s *Server) call(field func(*Counts) *int64, run operation) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.counts.add(field, 1)
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
		if err != nil {
			writeError(w, err)
			return
		}
		fault := s.faults.next()
		if fault.Mode != FaultNone {
			s.counts.add(countFaulted, 1)
		}
		if fault.Mode == FaultDown {
			panic(http.ErrAbortHandler)
		}
		if fault.Mode == FaultSlow {
			time.Sleep(fault.delay())
		}
		answer, err := run(time.Now(), body)
		if fault.Mode == FaultLoseAnswers {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			writeError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	}
}

// writeError responds with the error in the JSON form of etcd: status 404 if the
// lease doesn't exist, otherwise 400.
func writeError(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "application/json")
	status := http.StatusBadRequest
	if errors.Is(err, errNoLease) {
		status = http.StatusNotFound
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(kvmsg.Error{Error: err.Error(), Message: err.Error()})
}

func (s *Server) serveRange(now time.Time, body []byte) (any, error) {
	var r kvmsg.RangeRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	return s.table.read(now, r), nil
}

func (s *Server) serveTxn(now time.Time, body []byte) (any, error) {
	var r kvmsg.TxnRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	return s.table.txn(now, r)
}

func (s *Server) serveGrant(now time.Time, body []byte) (any, error) {
	var r kvmsg.GrantRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	return s.table.grant(now, r), nil
}

func (s *Server) serveKeepAlive(now time.Time, body []byte) (any, error) {
	var r kvmsg.KeepAliveRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	answer := s.table.keepAlive(now, r)
	return kvmsg.KeepAliveLine{Result: &answer}, nil
}

func (s *Server) serveRevoke(_ time.Time, body []byte) (any, error) {
	var r kvmsg.RevokeRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	answer, ok := s.table.revoke(r.ID)
	if !ok {
		return nil, errNoLease
	}
	return answer, nil
}
