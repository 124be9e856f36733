package spread

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
)

const (
	pullQueueCapacity = 64
	pullWorkers       = 2
	// pullTimeout bounds one request for a document.
	pullTimeout = 2 * time.Second
)

// pullTask is a pull of a document from the peer at address. The peer holds the
// revision wanted or a newer one.
type pullTask struct {
	wanted  Head
	address string
}

// queuePulls queues pulls of documents from the peer at address. If the queue is
// full, pulls are dropped. Later exchanges find that the documents are missing
// and queue them again.
func (s *Spread) queuePulls(heads []Head, address string) {
	for _, h := range heads {
		select {
		case s.pullQueue <- pullTask{wanted: h, address: address}:
		default:
			s.counters.pullsDropped.Inc()
		}
	}
}

// pullLoop pulls the queued documents from peers.
func (s *Spread) pullLoop(ctx context.Context) {
	for {
		select {
		case task := <-s.pullQueue:
			s.pullDocument(ctx, task)
		case <-ctx.Done():
			return
		}
	}
}

// pullDocument pulls one document and stores it, unless the node already holds it
// or another pull of the document is in flight.
func (s *Spread) pullDocument(ctx context.Context, task pullTask) {
	base, ok := s.startPull(task.wanted)
	if !ok {
		return
	}
	defer s.endPull(task.wanted.Key)
	d, err := s.requestDocument(ctx, task, base)
	if err != nil {
		s.counters.pullsFailed.Inc()
		s.options.Logger.Info("PullFailed", zap.String("Key", task.wanted.Key),
			zap.String("Peer", task.address), zap.Error(err))
		return
	}
	s.counters.pullsAnswered.Inc()
	s.Offer(d)
}

// startPull marks a pull as in flight and returns the held revision of the
// document. It reports false if the pull is unnecessary.
func (s *Spread) startPull(h Head) (gage.Document, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.documents.latest[h.Key]
	if held.Revision >= h.Revision || s.pulling[h.Key] != 0 {
		return gage.Document{}, false
	}
	s.pulling[h.Key] = h.Revision
	return held, true
}

// endPull marks the pull of a document as ended.
func (s *Spread) endPull(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pulling, key)
}

// requestDocument requests a delta against base. If that fails, it requests the
// whole document.
func (s *Spread) requestDocument(ctx context.Context, task pullTask, base gage.Document) (gage.Document, error) {
	d, err := s.requestOnce(ctx, task, base)
	if err != nil && base.Revision != 0 && ctx.Err() == nil {
		return s.requestOnce(ctx, task, gage.Document{})
	}
	return d, err
}

// requestOnce requests a document as a delta against base, or whole if base is
// empty.
func (s *Spread) requestOnce(ctx context.Context, task pullTask, base gage.Document) (gage.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := s.options.Peer.Pull(ctx, task.address, PullRequest{Key: task.wanted.Key, HeldRevision: base.Revision})
	if err != nil {
		return gage.Document{}, err
	}
	s.counters.pulledBytes.Add(len(reply.Body))
	if reply.Key != task.wanted.Key || reply.Revision == 0 {
		return gage.Document{}, fmt.Errorf("unexpected pull reply: document %q at revision %d", reply.Key, reply.Revision)
	}
	if reply.BaseRevision == 0 {
		base = gage.Document{}
	}
	return unpack(reply, base)
}

// AnswerPull returns the newest held revision of the document that a peer
// requests, as a delta if this node has also retained the revision that the peer
// holds.
func (s *Spread) AnswerPull(p PullRequest) PullReply {
	s.mu.Lock()
	d, ok := s.documents.latest[p.Key]
	base, _ := s.documents.atRevision(p.Key, p.HeldRevision)
	s.mu.Unlock()
	if !ok {
		return PullReply{Key: p.Key}
	}
	reply, err := s.packer.pack(d, base)
	if err != nil {
		s.options.Logger.Error("PackFailed", zap.String("Key", p.Key), zap.Error(err))
		return PullReply{Key: p.Key}
	}
	return reply
}
