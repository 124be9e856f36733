// Package spool bounds the memory of the bodies that a node buffers.
package spool

import (
	"io"
	"math"
	"sync/atomic"
)

const (
	// FreeBytes is how much of each body is buffered without a reservation.
	FreeBytes = 8 << 10
	// memoryShare is the share of a process's memory that all bodies together may take.
	memoryShare = 0.15
)

// Spool holds the reservations for all bodies. Faulty targets, or callers that read slowly,
// may make a node hold many long ones at a time. It is safe for concurrent use.
type Spool struct {
	free atomic.Int64
}

// New returns the spool of a process that may use memoryBytes, or any memory if that is 0.
func New(memoryBytes int64) *Spool {
	s := &Spool{}
	s.free.Store(math.MaxInt64 / 2)
	if memoryBytes > 0 {
		s.free.Store(int64(memoryShare * float64(memoryBytes)))
	}
	return s
}

// Reserve takes n bytes and returns true, or returns false if fewer are free.
func (s *Spool) Reserve(n int64) bool {
	if s.free.Add(-n) >= 0 {
		return true
	}
	s.free.Add(n)
	return false
}

// Release returns n reserved bytes.
func (s *Spool) Release(n int64) { s.free.Add(n) }

// Read reads a body, or its beginning if it is at least limit bytes long or no memory is
// free. The caller releases the reserved bytes, also after an error.
func (s *Spool) Read(body io.Reader, limit int) (text []byte, isComplete bool, reserved int64, err error) {
	size := min(FreeBytes, limit)
	for {
		part, err := io.ReadAll(io.LimitReader(body, int64(size-len(text))))
		text = append(text, part...)
		if err != nil || len(text) < size {
			return text, err == nil, reserved, err
		}
		next := min(2*size, limit)
		if next == size || !s.Reserve(int64(next-size)) {
			return text, false, reserved, nil
		}
		reserved += int64(next - size)
		size = next
	}
}
