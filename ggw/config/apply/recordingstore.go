package apply

import (
	"context"

	"github.com/greengagewind/greengagewind/gage"
)

// recordingStore records the error of the last call to the store, so that it can
// be reported when the outcome of the apply is unknown.
type recordingStore struct {
	gage.Store
	// lastErr is the error of the last call to Get or Swap, or nil.
	lastErr error
}

func (s *recordingStore) Get(ctx context.Context, key string) (gage.Entry, error) {
	entry, err := s.Store.Get(ctx, key)
	s.lastErr = err
	return entry, err
}

func (s *recordingStore) Swap(ctx context.Context, key string, revision int64, value []byte, lease gage.LeaseID) (gage.Entry, bool, error) {
	entry, swapped, err := s.Store.Swap(ctx, key, revision, value, lease)
	s.lastErr = err
	return entry, swapped, err
}
