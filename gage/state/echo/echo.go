// Package echo bounds the age of messages between processes that share no
// clock. A receiver puts a stamp of its own clock into each answer; a sender
// hands the newest stamp back with how long it has held it. What is left of
// the time since the stamp was made bounds how long the message travelled,
// whatever was frozen or cut on the way.
package echo

import (
	"sync"
	"time"
)

// The bounds of stamps.
const (
	// maxHeld is how long a stamp is handed back.
	maxHeld = 10 * time.Minute
	// driftPerMillion is how much two clocks may drift apart.
	driftPerMillion = 200
	maxPeers        = 4096
)

// Stamp is a reading of a receiver's monotonic clock.
type Stamp struct {
	// Process names the receiving process; "" means no stamp.
	Process string
	// Micros is the receiver's clock in microseconds since it started.
	Micros int64
}

// Echo is a stamp on its way back.
type Echo struct {
	Stamp
	// Held is how long the sender has held the stamp.
	Held time.Duration
}

// MaxAge returns how long ago at most a message with the echo was sent, as seen
// by the process whose stamp it is. It is not known when the echo is not of
// this process.
func MaxAge(self Stamp, e Echo) (late time.Duration, known bool) {
	if e.Process == "" || e.Process != self.Process {
		return 0, false
	}
	since := time.Duration(self.Micros-e.Micros) * time.Microsecond
	drift := since * driftPerMillion / 1_000_000
	return max(since-e.Held+drift, 0), true
}

// Cache keeps the newest stamp of each peer. It is safe for concurrent use.
type Cache struct {
	mu sync.Mutex
	// stamps has at most maxPeers entries, by peer address.
	stamps map[string]held
}

type held struct {
	stamp Stamp
	at    time.Time
}

// New returns an empty book.
func New() *Cache {
	return &Cache{stamps: make(map[string]held)}
}

// Put keeps a stamp that came with an answer of the peer at address.
func (b *Cache) Put(now time.Time, address string, s Stamp) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, known := b.stamps[address]
	if !known && len(b.stamps) >= maxPeers {
		b.evict()
	}
	b.stamps[address] = held{stamp: s, at: now}
}

// evict drops any one stamp; its peer will ask for a new one.
func (b *Cache) evict() {
	for address := range b.stamps {
		delete(b.stamps, address)
		return
	}
}

// Echo returns what to send to the peer at address; without a stamp that is
// young enough its Process is "".
func (b *Cache) Echo(now time.Time, address string) Echo {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, ok := b.stamps[address]
	if !ok || now.Sub(h.at) > maxHeld {
		return Echo{}
	}
	return Echo{Stamp: h.stamp, Held: now.Sub(h.at)}
}
