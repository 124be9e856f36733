package store

import "sync"

// Counts has the number of calls of each kind since the start.
type Counts struct {
	Range     int64
	Txn       int64
	Grant     int64
	KeepAlive int64
	Revoke    int64
	Watch     int64
	// Waiting is the number of open watches.
	Waiting int64
	// Faulted is the number of calls, included in the counts above, into which a
	// fault was injected.
	Faulted int64
}

// callCounter is a Counts that is safe for concurrent use.
type callCounter struct {
	mu     sync.Mutex
	counts Counts
}

func (c *callCounter) add(field func(*Counts) *int64, delta int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*field(&c.counts) += delta
}

func (c *callCounter) snapshot() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

func countRange(c *Counts) *int64     { return &c.Range }
func countTxn(c *Counts) *int64       { return &c.Txn }
func countGrant(c *Counts) *int64     { return &c.Grant }
func countKeepAlive(c *Counts) *int64 { return &c.KeepAlive }
func countRevoke(c *Counts) *int64    { return &c.Revoke }
func countWatch(c *Counts) *int64     { return &c.Watch }
func countWaiting(c *Counts) *int64   { return &c.Waiting }
func countFaulted(c *Counts) *int64   { return &c.Faulted }
