package quota

import (
	"context"
	"fmt"
	"time"
)

// hold runs the Issuer.
func (l *Limiter) hold(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			l.tick(ctx, l.options.Clock.Now())
		case e := <-l.holdEvents:
			e(l.options.Clock.Now())
		}
	}
}

func (l *Limiter) tick(ctx context.Context, now time.Time) {
	l.issuer.Tick(now)
	for _, out := range l.issuer.Wanted(now) {
		l.work.Go(func() { l.askAdopted(ctx, out) })
	}
}

func (l *Limiter) askAdopted(ctx context.Context, out Outgoing) {
	asking, cancel := context.WithTimeout(ctx, adoptedTimeout)
	defer cancel()
	answer, err := l.options.Peers.Adopted(asking, out.Address, out.Ask)
	if err != nil {
		return
	}
	select {
	case l.holdEvents <- func(now time.Time) { l.issuer.Heard(now, out, answer) }:
	case <-l.done:
	}
}

// Issue answers an ask for tokens of the slots that this process holds.
func (l *Limiter) Issue(ctx context.Context, ask TakeRequest) (TakeReply, error) {
	answers := make(chan TakeReply, 1)
	err := l.postHold(func(now time.Time) { answers <- l.issuer.Take(now, ask) })
	if err != nil {
		return TakeReply{}, err
	}
	select {
	case answer := <-answers:
		l.counts.issued.Add(answer.Granted)
		return answer, nil
	case <-l.done:
		return TakeReply{}, fmt.Errorf("take tokens: %w", errStopped)
	case <-ctx.Done():
		return TakeReply{}, fmt.Errorf("take tokens: %w", ctx.Err())
	}
}

// Adopted answers which configuration generation the holder has adopted.
func (l *Limiter) Adopted(ctx context.Context, ask AdoptedRequest) (AdoptedReply, error) {
	answers := make(chan AdoptedReply, 1)
	err := l.postHold(func(now time.Time) { answers <- l.issuer.Adopted(now, ask) })
	if err != nil {
		return AdoptedReply{}, err
	}
	select {
	case answer := <-answers:
		return answer, nil
	case <-l.done:
		return AdoptedReply{}, fmt.Errorf("tell the adopted generation: %w", errStopped)
	case <-ctx.Done():
		return AdoptedReply{}, fmt.Errorf("tell the adopted generation: %w", ctx.Err())
	}
}

func (l *Limiter) postHold(e holdEvent) error {
	select {
	case l.holdEvents <- e:
		return nil
	default:
		l.counts.holdFull.Inc()
		return fmt.Errorf("post to the holder: %w", errFull)
	}
}
