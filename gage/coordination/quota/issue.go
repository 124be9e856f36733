package quota

import (
	"context"
	"fmt"
	"time"
)

// runIssuer is the main loop of the goroutine that owns the Issuer. It returns when
// ctx ends.
func (l *Limiter) runIssuer(ctx context.Context) {
	ticker := time.NewTicker(issuerTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.tickIssuer(ctx, l.options.Clock.Now())
		case event := <-l.issuerEvents:
			event(l.options.Clock.Now())
		}
	}
}

func (l *Limiter) tickIssuer(ctx context.Context, now time.Time) {
	l.issuer.Tick(now)
	for _, out := range l.issuer.AdoptedRequests(now) {
		l.workers.Go(func() { l.sendAdopted(ctx, out) })
	}
}

func (l *Limiter) sendAdopted(ctx context.Context, out OutgoingAdopted) {
	callCtx, cancel := context.WithTimeout(ctx, adoptedTimeout)
	defer cancel()
	reply, err := l.options.Peers.Adopted(callCtx, out.Address, out.Request)
	if err != nil {
		return
	}
	select {
	case l.issuerEvents <- func(now time.Time) { l.issuer.HandleAdopted(now, out, reply) }:
	case <-l.done:
	}
}

// Issue serves a TakeRequest from this or another node. It returns an error
// when the Issuer's event queue is full, ctx ends or the Limiter stops.
func (l *Limiter) Issue(ctx context.Context, request TakeRequest) (TakeReply, error) {
	replies := make(chan TakeReply, 1)
	err := l.postIssuer(func(now time.Time) { replies <- l.issuer.Take(now, request) })
	if err != nil {
		return TakeReply{}, err
	}
	select {
	case reply := <-replies:
		l.counters.issued.Add(reply.Granted)
		return reply, nil
	case <-l.done:
		return TakeReply{}, fmt.Errorf("take tokens: %w", errStopped)
	case <-ctx.Done():
		return TakeReply{}, fmt.Errorf("take tokens: %w", ctx.Err())
	}
}

// Adopted serves an AdoptedRequest from another node. It returns an error when
// the Issuer's event queue is full, ctx ends or the Limiter stops.
func (l *Limiter) Adopted(ctx context.Context, request AdoptedRequest) (AdoptedReply, error) {
	replies := make(chan AdoptedReply, 1)
	err := l.postIssuer(func(now time.Time) { replies <- l.issuer.Adopted(now, request) })
	if err != nil {
		return AdoptedReply{}, err
	}
	select {
	case reply := <-replies:
		return reply, nil
	case <-l.done:
		return AdoptedReply{}, fmt.Errorf("report the adopted generation: %w", errStopped)
	case <-ctx.Done():
		return AdoptedReply{}, fmt.Errorf("report the adopted generation: %w", ctx.Err())
	}
}

// postIssuer queues an event for the Issuer's goroutine without blocking.
func (l *Limiter) postIssuer(event issuerEvent) error {
	select {
	case l.issuerEvents <- event:
		return nil
	default:
		l.counters.issuerQueueFull.Inc()
		return fmt.Errorf("queue a request for the quota issuer: %w", errQueueFull)
	}
}
