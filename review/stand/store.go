package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store, or the removal of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is a stand-in for the platform's metadata store. It keeps its whole history and
// grants leases that do not expire, since the nodes under test use none.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
	lease    int64
}

func newStore() *store {
	return &store{revision: 1, items: make(map[string]item), changed: make(chan struct{})}
}

// put writes an entry, as the operator does, and returns its revision.
func (s *store) put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.putLocked(key, value, 0)
}

func (s *store) putLocked(key string, value []byte, lease int64) int64 {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, found := s.items[key]; found {
		i.Created = old.Created
	}
	s.items[key] = i
	s.record(i)
	return s.revision
}

// remove deletes an entry, as the operator does.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(key)
}

func (s *store) removeLocked(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) record(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /-/kv-lease", func(w http.ResponseWriter, r *http.Request) {
		var in struct {
			TTL string `json:"ttl_time"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		s.mu.Lock()
		s.lease++
		lease := s.lease
		s.mu.Unlock()
		writeJSON(w, http.StatusOK, map[string]any{"lease": lease, "ttl_time": in.TTL})
	})
	mux.HandleFunc("POST /-/kv-keep/{id}", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]any{})
	})
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, map[string]any{})
	})
	return mux
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, found := s.items[r.URL.Query().Get("key")]
	if !found {
		writeJSON(w, http.StatusNotFound, map[string]any{"at": s.revision})
		return
	}
	writeJSON(w, http.StatusOK, struct {
		item
		At int64 `json:"at"`
	}{i, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	const maxItems = 500
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []item{}
	for _, key := range keys[:min(maxItems, len(keys))] {
		items = append(items, s.items[key])
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": len(keys) > maxItems, "at": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	waitMillis, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(waitMillis) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected_revision"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range in.Expected {
		if s.items[e.Key].Revision != e.Revision {
			items := []item{}
			for _, e := range in.Expected {
				if i, found := s.items[e.Key]; found {
					items = append(items, i)
				}
			}
			writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": items})
			return
		}
	}
	for _, e := range in.Writes {
		if strings.HasPrefix(e.Key, "op/") || strings.HasPrefix(e.Key, "servers/") {
			writeJSON(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	for _, e := range in.Writes {
		s.putLocked(e.Key, e.Value, e.Lease)
	}
	for _, key := range in.Deletes {
		s.removeLocked(key)
	}
	writeJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}
