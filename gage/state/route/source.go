package route

import (
	"math/rand/v2"
	"sync/atomic"
)

// source is a splitmix64 generator. Its state is advanced atomically, so that
// goroutines can share it without a lock.
type source struct {
	state atomic.Uint64
}

// Source returns a random source that is safe for concurrent use. Equal seeds
// give equal sequences.
func Source(seed uint64) rand.Source {
	s := &source{}
	s.state.Store(seed)
	return s
}

// Uint64 implements rand.Source.
func (s *source) Uint64() uint64 {
	z := s.state.Add(0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
