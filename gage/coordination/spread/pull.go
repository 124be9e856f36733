package spread

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
)

const (
	maxWants    = 64
	pullWorkers = 2
	// pullTimeout bounds the transfer of one document.
	pullTimeout = 2 * time.Second
)

// want is a document that the peer at address holds.
type want struct {
	head    Head
	address string
}

// wantAll queues pulls. A full queue drops them; the next exchange finds them
// again.
func (s *Spread) wantAll(heads []Head, address string) {
	for _, h := range heads {
		select {
		case s.wants <- want{head: h, address: address}:
		default:
			s.counts.pullDropped.Inc()
		}
	}
}

// pull is the duty that fetches documents from peers.
func (s *Spread) pull(ctx context.Context) {
	for {
		select {
		case w := <-s.wants:
			s.fetch(ctx, w)
		case <-ctx.Done():
			return
		}
	}
}

// fetch pulls one document unless it has come meanwhile or is on its way.
func (s *Spread) fetch(ctx context.Context, w want) {
	base, ok := s.startPull(w.head)
	if !ok {
		return
	}
	defer s.endPull(w.head.Key)
	d, err := s.transfer(ctx, w, base)
	if err != nil {
		s.counts.pullFailed.Inc()
		s.options.Logger.Info("PullFailed", zap.String("Key", w.head.Key),
			zap.String("Peer", w.address), zap.Error(err))
		return
	}
	s.counts.pulled.Inc()
	s.Offer(d)
}

// startPull returns the document held so far.
func (s *Spread) startPull(h Head) (gage.Document, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.docs.latest[h.Key]
	if held.Revision >= h.Revision || s.pulling[h.Key] != 0 {
		return gage.Document{}, false
	}
	s.pulling[h.Key] = h.Revision
	return held, true
}

func (s *Spread) endPull(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pulling, key)
}

// transfer asks for a delta against base, and for the whole document when the
// delta does not fit.
func (s *Spread) transfer(ctx context.Context, w want, base gage.Document) (gage.Document, error) {
	d, err := s.transferOnce(ctx, w, base)
	if err != nil && base.Revision != 0 && ctx.Err() == nil {
		return s.transferOnce(ctx, w, gage.Document{})
	}
	return d, err
}

func (s *Spread) transferOnce(ctx context.Context, w want, base gage.Document) (gage.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	packed, err := s.options.Peer.Pull(ctx, w.address, PullRequest{Key: w.head.Key, HeldRevision: base.Revision})
	if err != nil {
		return gage.Document{}, err
	}
	s.counts.pulledBytes.Add(len(packed.Body))
	if packed.Key != w.head.Key || packed.Revision == 0 {
		return gage.Document{}, fmt.Errorf("the peer answered with %q at revision %d", packed.Key, packed.Revision)
	}
	if packed.BaseRevision == 0 {
		base = gage.Document{}
	}
	return unpack(packed, base)
}

// AnswerPull returns the document that a peer asks for.
func (s *Spread) AnswerPull(p PullRequest) PullReply {
	s.mu.Lock()
	d, ok := s.docs.latest[p.Key]
	base, _ := s.docs.at(p.Key, p.HeldRevision)
	s.mu.Unlock()
	if !ok {
		return PullReply{Key: p.Key}
	}
	packed, err := s.packer.pack(d, base)
	if err != nil {
		s.options.Logger.Error("PackFailed", zap.String("Key", p.Key), zap.Error(err))
		return PullReply{Key: p.Key}
	}
	return packed
}
