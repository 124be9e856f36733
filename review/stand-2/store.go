package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxWatchWait = 30 * time.Second
	// historyTime is how long the store keeps changes for watches, as the settings say.
	historyTime  = 20 * time.Second
	maxPageItems = 500
)

// item is an entry of the store, or a change of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
	// at is when the change was made.
	at time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	record   *record
	mu       sync.Mutex
	revision int64
	items    map[string]item
	changes  []item
	// dropped is the revision up to which the history has been dropped.
	dropped int64
	changed chan struct{}
	// isTurnedAway reports whether the machine that calls at an IP address of the store
	// gets no answers.
	isTurnedAway func(ip string) bool
	// watched counts the watch calls at each IP address.
	watched map[string]int
}

func newStore(r *record) *store {
	return &store{
		record: r, revision: 1, items: make(map[string]item), changed: make(chan struct{}),
		isTurnedAway: func(string) bool { return false }, watched: make(map[string]int),
	}
}

// put writes a key as the operator does. Its return is the operator's acknowledgement.
func (s *store) put(key string, value []byte) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(key, value)
	return time.Now()
}

func (s *store) write(key string, value []byte) {
	s.revision++
	next := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, at: time.Now()}
	if old, found := s.items[key]; found {
		next.Created = old.Created
	}
	s.items[key] = next
	s.changes = append(s.changes, next)
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setTurnedAway(isTurnedAway func(ip string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isTurnedAway = isTurnedAway
}

// watchCounts returns the number of watch calls at each IP address so far.
func (s *store) watchCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.watched))
	for ip, n := range s.watched {
		counts[ip] = n
	}
	return counts
}

// calledAt returns the IP address at which the store was called. Each machine has one of
// its own: on loopback addresses, the caller's tells nothing.
func calledAt(r *http.Request) string {
	local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	ip, _, _ := net.SplitHostPort(local.String())
	return ip
}

func (s *store) turnsAway(r *http.Request) bool {
	ip := calledAt(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isTurnedAway(ip)
}

// ServeHTTP answers one call of the store's protocol.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.turnsAway(r) {
		<-r.Context().Done()
		return
	}
	path := r.URL.Path
	switch {
	case r.Method == http.MethodGet && path == "/-/kv-key":
		s.serveKey(w, r)
	case r.Method == http.MethodGet && path == "/-/kv-range":
		s.serveRange(w, r)
	case r.Method == http.MethodGet && path == "/-/kv-watch":
		s.serveWatch(w, r)
	case r.Method == http.MethodPost && path == "/-/kv-txn":
		s.serveTxn(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) int {
	text, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return 0
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
	return len(text)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, isFound := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !isFound {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, struct {
		item
		At int64 `json:"at"`
	}{found, at})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	page := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page = append(page, i)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(page, func(i, j int) bool { return page[i].Key < page[j].Key })
	hasMore := len(page) > maxPageItems
	if hasMore {
		page = page[:maxPageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": page, "has_more": hasMore, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMillis, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	deadline := time.NewTimer(min(time.Duration(waitMillis)*time.Millisecond, maxWatchWait))
	defer deadline.Stop()
	ip := calledAt(r)
	s.mu.Lock()
	s.watched[ip]++
	s.mu.Unlock()
	for {
		events, at, isDropped, changed := s.changesAfter(query.Get("prefix"), after)
		if isDropped {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-deadline.C:
			}
		}
		size := reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
		if len(events) > 1 {
			s.record.add("store", "watch of %s after %d answered with %d changes, %d bytes", ip, after, len(events), size)
		}
		return
	}
}

func (s *store) changesAfter(prefix string, after int64) (events []item, at int64, isDropped bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.changes) > 0 && time.Since(s.changes[0].at) > historyTime {
		s.dropped = s.changes[0].Revision
		s.changes = s.changes[1:]
	}
	events = []item{}
	for _, c := range s.changes {
		if c.Revision > after && strings.HasPrefix(c.Key, prefix) {
			events = append(events, c)
		}
	}
	return events, s.revision, after < s.dropped, s.changed
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected_revision"`
		Writes []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"writes"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&txn); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range txn.Expected {
		if s.items[e.Key].Revision != e.Revision {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []item{}})
			return
		}
	}
	for _, write := range txn.Writes {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		s.write(write.Key, write.Value)
	}
	for _, key := range txn.Deletes {
		if _, found := s.items[key]; found {
			s.revision++
			delete(s.items, key)
			s.changes = append(s.changes, item{Key: key, Revision: s.revision, Removed: true, at: time.Now()})
			s.notify()
		}
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}
