package store

import (
	"encoding/json"
	"net/http"

	"github.com/greengagewind/greengagewind/gage/protocol/kvmsg"
)

// serveWatch streams the events of a range of keys, one JSON object per line, until
// the client closes the connection or the fault mode becomes Down.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	s.counts.add(countWatch, 1)
	var open kvmsg.WatchRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&open); err != nil {
		writeError(w, err)
		return
	}
	if s.faults.next().Mode == FaultDown {
		s.counts.add(countFaulted, 1)
		panic(http.ErrAbortHandler)
	}
	s.counts.add(countWaiting, 1)
	defer s.counts.add(countWaiting, -1)
	s.stream(w, r, open.CreateRequest)
}

// stream sends past and new events from the start revision on. It cancels the watch
// if events at or after the start revision have been compacted.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, open kvmsg.WatchCreateRequest) {
	down := s.faults.downSignal()
	next := open.StartRevision
	if next == 0 {
		_, _, header, _ := s.table.eventsSince(0)
		next = header.Revision + 1
	}
	_, _, header, _ := s.table.eventsSince(next)
	w.Header().Set("Content-Type", "application/json")
	if !send(w, kvmsg.WatchResponse{Header: header, Created: true}) {
		return
	}
	for {
		events, available, header, changed := s.table.eventsSince(next)
		if !available {
			send(w, kvmsg.WatchResponse{Header: header, Canceled: true, CompactRevision: next})
			return
		}
		if !sendEvents(w, open, events, header) {
			return
		}
		next = header.Revision + 1
		select {
		case <-changed:
		case <-down:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

// sendEvents sends the events in the range of the watch, if any. It returns false
// when writing fails.
func sendEvents(w http.ResponseWriter, open kvmsg.WatchCreateRequest, events []kvmsg.Event, header kvmsg.Header) bool {
	var matching []kvmsg.Event
	for _, e := range events {
		if inRange(open.Key, open.RangeEnd, string(e.Kv.Key)) {
			matching = append(matching, e)
		}
	}
	return len(matching) == 0 || send(w, kvmsg.WatchResponse{Header: header, Events: matching})
}

// send writes and flushes one response. It returns false when writing fails.
func send(w http.ResponseWriter, answer kvmsg.WatchResponse) bool {
	if err := json.NewEncoder(w).Encode(kvmsg.WatchLine{Result: &answer}); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}
