// Package plat has the stand-ins for the users' platform: its key-value store
// and the targets of its services.
package plat

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// StoreFault is a fault that the store injects into all calls.
type StoreFault string

// The faults of the store.
const (
	// StoreHealthy means no fault.
	StoreHealthy StoreFault = ""
	// StoreUnavailable answers 503 and carries out no call.
	StoreUnavailable StoreFault = "Busy"
	// StoreResets closes the connection and carries out no call.
	StoreResets StoreFault = "Reset"
	// StoreLosesAnswers carries out calls and closes the connection without an
	// answer.
	StoreLosesAnswers StoreFault = "Lost"
)

const (
	// maxWatchWait is the longest time for which a watch waits for a change.
	maxWatchWait = 30 * time.Second
	// leaseCheckInterval is the interval between checks for expired leases.
	leaseCheckInterval = 50 * time.Millisecond
	// maxPageItems is the maximum number of items in one answer to a range call.
	maxPageItems = 500
)

// Item is an entry of the store, or a change to one.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	// Created is the revision of the write that created the entry. Later writes to
	// the entry leave it unchanged.
	Created int64 `json:"created,omitempty"`
	// Lease is the ID of the lease that the entry is bound to, or 0 for none.
	Lease int64 `json:"lease,omitempty"`
	// Removed is set in changes that remove the key.
	Removed bool `json:"removed,omitempty"`
}

// eraHeader names the header of each answer that has the store's era.
const eraHeader = "Store-Era"

// Store is an in-memory stand-in for the platform's key-value store.
type Store struct {
	mu sync.Mutex
	// era rises each time the store is restored from a copy.
	era      int64
	revision int64
	items    map[string]Item
	// changeLog holds the changes after compactedRevision, ordered by revision.
	changeLog         []Item
	compactedRevision int64
	// changeSignal is closed and replaced at each change and compaction.
	changeSignal chan struct{}
	leaseExpiry  map[int64]time.Time
	leaseTTLs    map[int64]time.Duration
	lastLease    int64
	fault        StoreFault
	calls        int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		era: 1, revision: 1, items: make(map[string]Item), changeSignal: make(chan struct{}),
		leaseExpiry: make(map[int64]time.Time), leaseTTLs: make(map[int64]time.Duration),
	}
}

// SetFault sets the fault for later calls. StoreHealthy ends the current fault.
func (s *Store) SetFault(fault StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Calls returns the number of calls received over HTTP.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a value as an operator does, regardless of the fault, and returns
// the new revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
	return s.revision
}

// Remove deletes a key as an operator does, regardless of the fault.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Compact drops the change log. A watch from an earlier revision is then answered
// with 410, and its client must list all entries again.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changeLog, s.compactedRevision = nil, s.revision
	s.notifyWatchers()
}

// Copy is the content of a store at one time.
type Copy struct {
	revision    int64
	items       map[string]Item
	changeLog   []Item
	leaseExpiry map[int64]time.Time
	leaseTTLs   map[int64]time.Duration
	lastLease   int64
}

// Copy returns the present content of the store.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{
		revision: s.revision, items: maps.Clone(s.items), changeLog: slices.Clone(s.changeLog),
		leaseExpiry: maps.Clone(s.leaseExpiry), leaseTTLs: maps.Clone(s.leaseTTLs), lastLease: s.lastLease,
	}
}

// Restore replaces the content of the store with that of a copy. What was written since
// is lost, and its revisions and lease IDs are given out again. Waiting watches are cut.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.lastLease = c.revision, c.lastLease
	s.items, s.changeLog = maps.Clone(c.items), slices.Clone(c.changeLog)
	s.leaseExpiry, s.leaseTTLs = maps.Clone(c.leaseExpiry), maps.Clone(c.leaseTTLs)
	s.compactedRevision = min(s.compactedRevision, s.revision)
	s.notifyWatchers()
}

// setEra sets the header with the store's era. The caller must hold mu.
func (s *Store) setEra(w http.ResponseWriter) {
	w.Header().Set(eraHeader, strconv.FormatInt(s.era, 10))
}

func (s *Store) notifyWatchers() {
	close(s.changeSignal)
	s.changeSignal = make(chan struct{})
}

func (s *Store) put(key string, value []byte, lease int64) {
	s.revision++
	item := Item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, exists := s.items[key]; exists {
		item.Created = old.Created
	}
	s.items[key] = item
	s.changeLog = append(s.changeLog, item)
	s.notifyWatchers()
}

func (s *Store) remove(key string) {
	if _, exists := s.items[key]; !exists {
		return
	}
	s.revision++
	delete(s.items, key)
	s.changeLog = append(s.changeLog, Item{Key: key, Revision: s.revision, Removed: true})
	s.notifyWatchers()
}

// Run expires leases until stop is closed.
func (s *Store) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			s.expireLeases(now)
		}
	}
}

func (s *Store) expireLeases(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, expiry := range s.leaseExpiry {
		if now.After(expiry) {
			s.removeLease(id)
		}
	}
}

func (s *Store) removeLease(id int64) {
	delete(s.leaseExpiry, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
}

// Handler returns the HTTP handler for the calls of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /-/kv-lease", s.serveGrant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.serveKeepAlive)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.serveRevoke)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		fault := s.fault
		s.setEra(w)
		s.mu.Unlock()
		switch fault {
		case StoreUnavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
		case StoreResets:
			panic(http.ErrAbortHandler)
		case StoreLosesAnswers:
			mux.ServeHTTP(discardWriter{header: make(http.Header)}, r)
			panic(http.ErrAbortHandler)
		case StoreHealthy:
			mux.ServeHTTP(w, r)
		}
	})
}

// discardWriter is an http.ResponseWriter that discards the answer.
type discardWriter struct {
	header http.Header
}

// Header returns a header that is never sent.
func (d discardWriter) Header() http.Header { return d.header }

// Write drops b.
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader drops the status.
func (d discardWriter) WriteHeader(int) {}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	item, exists := s.items[r.URL.Query().Get("key")]
	if !exists {
		writeJSON(w, http.StatusNotFound, map[string]int64{"at": s.revision})
		return
	}
	writeJSON(w, http.StatusOK, struct {
		Item
		At int64 `json:"at"`
	}{item, s.revision})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	prefix, afterKey := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []Item{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > afterKey {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	hasMore := len(items) > maxPageItems
	items = items[:min(len(items), maxPageItems)]
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": hasMore, "at": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	afterRevision, err := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMillis, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(waitMillis)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	firstEra := w.Header().Get(eraHeader)
	for timedOut := false; ; {
		events, revision, isCompacted, changeSignal := s.changesAfter(w, query.Get("prefix"), afterRevision)
		switch {
		case w.Header().Get(eraHeader) != firstEra:
			// The store was restored while the watch waited.
			panic(http.ErrAbortHandler)
		case isCompacted:
			writeJSON(w, http.StatusGone, map[string]string{"error": "forgotten"})
			return
		case len(events) > 0 || timedOut:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": revision})
			return
		}
		select {
		case <-changeSignal:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the changes after a revision to keys with a prefix, and the
// current revision. If isCompacted is true, a compaction has dropped some of these
// changes, or the store does not have that revision. The header of w gets the era. The
// channel changeSignal is closed at the next change or compaction.
func (s *Store) changesAfter(w http.ResponseWriter, prefix string, afterRevision int64) (events []Item, revision int64, isCompacted bool, changeSignal <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	events = []Item{}
	for _, item := range s.changeLog {
		if item.Revision > afterRevision && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events, s.revision, afterRevision < s.compactedRevision || afterRevision > s.revision, s.changeSignal
}

type txnRequest struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected_revision"`
	Writes  []Item   `json:"writes"`
	Deletes []string `json:"deletes"`
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var request txnRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	if !s.writesAllowed(request) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	for _, e := range request.Expected {
		if s.items[e.Key].Revision != e.Revision {
			s.writeConflict(w, request)
			return
		}
	}
	for _, item := range request.Writes {
		if _, exists := s.leaseExpiry[item.Lease]; item.Lease != 0 && !exists {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, item := range request.Writes {
		s.put(item.Key, item.Value, item.Lease)
	}
	for _, key := range request.Deletes {
		s.remove(key)
	}
	writeJSON(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

// writesAllowed reports whether a request neither writes nor deletes a key that only
// operators and the platform may write.
func (s *Store) writesAllowed(request txnRequest) bool {
	keys := append([]string{}, request.Deletes...)
	for _, item := range request.Writes {
		keys = append(keys, item.Key)
	}
	for _, key := range keys {
		if strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/") {
			return false
		}
	}
	return true
}

// writeConflict answers 412. The body has the current items of those keys for which
// the request names an expected revision.
func (s *Store) writeConflict(w http.ResponseWriter, request txnRequest) {
	items := []Item{}
	for _, e := range request.Expected {
		if item, exists := s.items[e.Key]; exists {
			items = append(items, item)
		}
	}
	writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": items})
}

// leaseMessage is the body of a request to grant a lease. It is also the body of the
// answer to a request that grants or renews a lease.
type leaseMessage struct {
	Lease int64  `json:"lease,omitempty"`
	TTL   string `json:"ttl_time"`
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var request leaseMessage
	err := json.NewDecoder(r.Body).Decode(&request)
	ttl, ttlErr := time.ParseDuration(request.TTL)
	if err != nil || ttlErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	s.lastLease++
	s.leaseExpiry[s.lastLease], s.leaseTTLs[s.lastLease] = time.Now().Add(ttl), ttl
	writeJSON(w, http.StatusOK, leaseMessage{Lease: s.lastLease, TTL: request.TTL})
}

func (s *Store) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	if _, exists := s.leaseExpiry[id]; err != nil || !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leaseExpiry[id] = time.Now().Add(s.leaseTTLs[id])
	writeJSON(w, http.StatusOK, leaseMessage{TTL: s.leaseTTLs[id].String()})
}

func (s *Store) serveRevoke(w http.ResponseWriter, r *http.Request) {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	if _, exists := s.leaseExpiry[id]; err != nil || !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.removeLease(id)
	writeJSON(w, http.StatusOK, struct{}{})
}
