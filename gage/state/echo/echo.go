// Package echo bounds the age of messages between processes whose clocks are
// not synchronized. A receiver puts a stamp, a reading of its own clock, into
// each answer. A sender returns the newest stamp, the echo, in its next message
// together with the time for which it has held the stamp. The receiver takes the time
// since it made the stamp, subtracts the time for which the sender held the stamp and
// adds an allowance for clock drift. The result is an upper bound of the message's age
// on arrival, even if a process or the network stalled meanwhile.
package echo

import (
	"sync"
	"time"
)

const (
	// maxHoldTime is the time after which a stamp is no longer echoed.
	maxHoldTime = 10 * time.Minute
	// maxDriftPPM is the largest difference between the rates of two clocks, in
	// parts per million.
	maxDriftPPM = 200
	// maxPeers is the largest number of stamps in a Cache.
	maxPeers = 4096
)

// Stamp is a reading of a receiver's monotonic clock.
type Stamp struct {
	// Process identifies the receiving process; "" means no stamp.
	Process string
	// Micros is the time since the receiver started, in microseconds.
	Micros int64
}

// Echo is a stamp that a sender returns to the receiver.
type Echo struct {
	Stamp
	// Held is the time from the arrival of the stamp at the sender to the
	// sending of the echo.
	Held time.Duration
}

// MaxAge returns an upper bound of the time since a message with the echo e was
// sent. self is the present stamp of the process that received the message. ok
// is false when the echo holds no stamp of this process.
func MaxAge(self Stamp, e Echo) (age time.Duration, ok bool) {
	if e.Process == "" || e.Process != self.Process {
		return 0, false
	}
	sinceStamp := time.Duration(self.Micros-e.Micros) * time.Microsecond
	drift := sinceStamp * maxDriftPPM / 1_000_000
	return max(sinceStamp-e.Held+drift, 0), true
}

// Cache holds the newest stamp of each peer. It is safe for concurrent use.
type Cache struct {
	mu sync.Mutex
	// stamps has at most maxPeers entries, by peer address.
	stamps map[string]receivedStamp
}

type receivedStamp struct {
	stamp      Stamp
	receivedAt time.Time
}

// New returns an empty cache.
func New() *Cache {
	return &Cache{stamps: make(map[string]receivedStamp)}
}

// Put stores a stamp that arrived at now in an answer of the peer at address.
func (c *Cache) Put(now time.Time, address string, s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, exists := c.stamps[address]
	if !exists && len(c.stamps) >= maxPeers {
		c.evict()
	}
	c.stamps[address] = receivedStamp{stamp: s, receivedAt: now}
}

// evict removes an arbitrary stamp. The next answer of its peer brings a new
// one.
func (c *Cache) evict() {
	for address := range c.stamps {
		delete(c.stamps, address)
		return
	}
}

// Echo returns the echo for a message that is sent at now to the peer at
// address. Its Process is "" when the cache has no stamp of the peer or the
// stamp is older than maxHoldTime.
func (c *Cache) Echo(now time.Time, address string) Echo {
	c.mu.Lock()
	defer c.mu.Unlock()
	received, ok := c.stamps[address]
	if !ok || now.Sub(received.receivedAt) > maxHoldTime {
		return Echo{}
	}
	return Echo{Stamp: received.stamp, Held: now.Sub(received.receivedAt)}
}
