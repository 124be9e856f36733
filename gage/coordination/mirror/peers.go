package mirror

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// ObservePeer processes the report of the node at address that it holds the given
// documents, which were current at confirmedAt. If this node lacks some of them, or has
// not compared its documents with those of another node yet, ObservePeer starts to fetch
// those of that node, unless a fetch is running. Otherwise it only records the
// confirmation. A report of an earlier era confirms nothing.
func (m *Mirror) ObservePeer(ctx context.Context, address string, held Held, confirmedAt time.Time) {
	m.mu.Lock()
	own := m.latest.Held()
	hasDocuments := held.At.Revision > 0
	lacks := hasDocuments && own.lacks(held)
	if !lacks && hasDocuments && held.At.Era == own.At.Era && confirmedAt.After(m.confirmedAt) {
		m.confirmedAt = confirmedAt
	}
	startFetch := (lacks || hasDocuments && !m.isSettled) && !m.isFetching && !m.options.Clock.Now().Before(m.fetchAfter)
	m.isFetching = m.isFetching || startFetch
	m.mu.Unlock()
	if startFetch {
		go m.fetch(ctx, address, held, confirmedAt)
	}
}

func (m *Mirror) fetch(ctx context.Context, address string, held Held, confirmedAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	s, err := m.options.Fetch(ctx, address)
	m.mu.Lock()
	m.isFetching = false
	m.mu.Unlock()
	if err != nil {
		m.options.Logger.Warn("DocumentsNotFetched", zap.String("Address", address), zap.Int64("Era", held.At.Era), zap.Int64("Revision", held.At.Revision),
			zap.Int64("Version", held.Version), zap.Error(err))
		return
	}
	s.Version = m.version(s.Entries)
	if s.Held().lacks(held) {
		// The confirmation is for newer documents than the fetched ones.
		confirmedAt = time.Time{}
		m.mu.Lock()
		m.fetchAfter = m.options.Clock.Now().Add(retryPause)
		m.mu.Unlock()
		m.options.Logger.Warn("DocumentsNotHeld", zap.String("Address", address), zap.Int64("Era", held.At.Era), zap.Int64("Revision", held.At.Revision), zap.Int64("Version", held.Version))
	}
	m.advance(s, confirmedAt)
	m.settle()
}
