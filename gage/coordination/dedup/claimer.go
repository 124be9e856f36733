package dedup

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/table"
)

// The patience of an entry node with the home of a key.
const (
	claimTries    = 2
	claimTimeout  = 600 * time.Millisecond
	settleTries   = 2
	settleTimeout = 500 * time.Millisecond
	// duplicateRetryAfter is what a repeat is told while the first call runs.
	duplicateRetryAfter = time.Second
	// maxSettling bounds the settlements under way behind the callers' backs.
	maxSettling = 1024
)

// Claimer asks the homes of keys. It implements gage.Claimer.
type Claimer struct {
	self   gage.Process
	shares gage.Shares
	peers  Peers
	keeper *Keeper
	// settling has a place for each settlement under way.
	settling chan struct{}
	spawn    func(task func())
}

var _ gage.Claimer = (*Claimer)(nil)

// NewClaimer returns a claimer that asks keeper where this process is itself
// the home.
func NewClaimer(self gage.Process, shares gage.Shares, peers Peers, keeper *Keeper) *Claimer {
	spawn := func(task func()) { go task() }
	if keeper != nil {
		spawn = keeper.options.Go
	}
	return &Claimer{
		self: self, shares: shares, peers: peers, keeper: keeper,
		settling: make(chan struct{}, maxSettling), spawn: spawn,
	}
}

// Drain waits until no settlement is under way or ctx ends. No call may be
// settled meanwhile.
func (cl *Claimer) Drain(ctx context.Context) error {
	for range maxSettling {
		select {
		case cl.settling <- struct{}{}:
		case <-ctx.Done():
			return fmt.Errorf("settle claims: %w", ctx.Err())
		}
	}
	for range maxSettling {
		<-cl.settling
	}
	return nil
}

// Claim asks for the right to run c. The call may run exactly when the
// outcome is NotRun without a reason. Every other answer means that this call
// must not and will not run; its outcome is what is known of the key.
func (cl *Claimer) Claim(ctx context.Context, now time.Time, c gage.Call) gage.Claim {
	key := table.KeyOf(c)
	request := ClaimRequest{Shard: shardOf(key), Key: key, Request: requestOf(c)}
	reply, sent := cl.askTwice(ctx, now, request)
	claim, definite := answerOf(reply, request.Request)
	if definite || !sent {
		return claim
	}
	// The home may have given the claim to this call, which will not run.
	cl.settle(ctx, now, SettleRequest{
		Shard: request.Shard, Key: key, Request: request.Request, Outcome: gage.OutcomeNotRun,
	})
	return unknown(gage.ReasonDuplicateUnknown)
}

// askTwice returns the home's answer and whether a message went out whose
// answer was lost.
func (cl *Claimer) askTwice(ctx context.Context, now time.Time, r ClaimRequest) (reply ClaimReply, sent bool) {
	for range claimTries {
		answer, err := cl.ask(ctx, now, r)
		if err == nil {
			reply = answer
		}
		if err == nil && answer.Status != StatusNotHolder || ctx.Err() != nil {
			return reply, sent || lost(err)
		}
		sent = sent || lost(err)
	}
	return reply, sent
}

func lost(err error) bool {
	return err != nil && !errors.Is(err, ErrNotSent)
}

func (cl *Claimer) ask(ctx context.Context, now time.Time, r ClaimRequest) (ClaimReply, error) {
	home, ok := cl.home(r.Shard)
	if !ok {
		return ClaimReply{}, fmt.Errorf("claim on shard %d without a known home: %w", r.Shard, ErrNotSent)
	}
	if home.Holder == cl.self {
		return cl.keeper.Claim(ctx, now, r), nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return cl.peers.Claim(ctx, home.PeerAddress, r)
}

func (cl *Claimer) home(shard int) (gage.ShareSlot, bool) {
	for _, slot := range cl.shares.Slots(shard) {
		if slot.Slot == homeSlot && (slot.PeerAddress != "" || slot.Holder == cl.self) {
			return slot, slot.Epoch > 0
		}
	}
	return gage.ShareSlot{}, false
}

// answerOf translates the home's answer. A refusal is not definite when an
// earlier message of the call may have been granted.
func answerOf(reply ClaimReply, ticket string) (claim gage.Claim, definite bool) {
	switch reply.Status {
	case StatusOK:
		return gage.Claim{Outcome: gage.OutcomeNotRun, Ticket: ticket}, true
	case StatusRan:
		return gage.Claim{Outcome: gage.OutcomeRan, Reason: gage.ReasonDuplicate, Answer: reply.Answer}, true
	case StatusRunning, StatusUnknown:
		return unknown(gage.ReasonDuplicate), true
	case StatusNotCovered:
		return unknown(gage.ReasonDuplicateUnknown), false
	default:
		return gage.Claim{Outcome: gage.OutcomeNotRun, Reason: gage.ReasonPeerFailed}, false
	}
}

func unknown(reason gage.Reason) gage.Claim {
	return gage.Claim{
		Outcome: gage.OutcomeUnknown, Reason: reason,
		Answer: gage.Result{RetryAfter: duplicateRetryAfter},
	}
}

// Settle tells the home what became of the call that holds the claim. Only a
// call that did not run waits for it, since its caller will try again at once.
func (cl *Claimer) Settle(ctx context.Context, now time.Time, c gage.Call, claim gage.Claim, r gage.Result) {
	key := table.KeyOf(c)
	request := SettleRequest{
		Shard: shardOf(key), Key: key, Request: claim.Ticket, Outcome: r.Outcome,
	}
	if r.Outcome == gage.OutcomeRan && table.AnswerSize(r) <= table.MaxBytesPerAnswer {
		request.Answer = r
	}
	if r.Outcome == gage.OutcomeNotRun {
		cl.settle(ctx, now, request)
		return
	}
	select {
	case cl.settling <- struct{}{}:
		cl.spawn(func() {
			defer func() { <-cl.settling }()
			cl.settle(ctx, now, request)
		})
	default:
		cl.settle(ctx, now, request)
	}
}

// settle gives up after a few tries; the key then counts as Unknown.
func (cl *Claimer) settle(ctx context.Context, now time.Time, r SettleRequest) {
	for range settleTries {
		home, ok := cl.home(r.Shard)
		if !ok {
			return
		}
		if home.Holder == cl.self {
			cl.keeper.Settle(now, r)
			return
		}
		if cl.sendSettle(ctx, home.PeerAddress, r) {
			return
		}
	}
}

func (cl *Claimer) sendSettle(ctx context.Context, address string, r SettleRequest) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	reply, err := cl.peers.Settle(ctx, address, r)
	return err == nil && reply.Status == StatusOK
}

func shardOf(key table.Key) int {
	return gage.ShardOf(string(key[:]))
}

func requestOf(c gage.Call) string {
	return fmt.Sprintf("%s/%d", c.RequestID, c.Attempt)
}
