package dedup

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/table"
)

// The timeouts and retry limits of an entry node that calls the home of a key.
const (
	maxClaimAttempts  = 2
	claimTimeout      = 600 * time.Millisecond
	maxSettleAttempts = 2
	settleTimeout     = 500 * time.Millisecond
	// duplicateRetryAfter is the Retry-After of a request refused because the
	// outcome of another call with its key is not known.
	duplicateRetryAfter = time.Second
	// maxBackgroundSettles is the maximum number of settle messages being sent
	// in the background, while their callers have already been answered.
	maxBackgroundSettles = 1024
)

// Claimer sends claims and outcomes of calls to the homes of their keys. It
// implements gage.Claimer.
type Claimer struct {
	self   gage.Process
	shares gage.Shares
	peers  Peers
	keeper *Keeper
	// backgroundSettles is a semaphore with one element for each settle message
	// being sent in the background.
	backgroundSettles chan struct{}
	startTask         func(task func())
}

var _ gage.Claimer = (*Claimer)(nil)

// NewClaimer returns a claimer that calls keeper directly for keys whose home is
// this process.
func NewClaimer(self gage.Process, shares gage.Shares, peers Peers, keeper *Keeper) *Claimer {
	startTask := func(task func()) { go task() }
	if keeper != nil {
		startTask = keeper.options.Go
	}
	return &Claimer{
		self: self, shares: shares, peers: peers, keeper: keeper,
		backgroundSettles: make(chan struct{}, maxBackgroundSettles), startTask: startTask,
	}
}

// Drain waits until all background settle messages have been sent, or returns an
// error when ctx ends. Settle must not be called during Drain.
func (cl *Claimer) Drain(ctx context.Context) error {
	for range maxBackgroundSettles {
		select {
		case cl.backgroundSettles <- struct{}{}:
		case <-ctx.Done():
			return fmt.Errorf("wait for background settle messages: %w", ctx.Err())
		}
	}
	for range maxBackgroundSettles {
		<-cl.backgroundSettles
	}
	return nil
}

// Claim claims the key of c at the key's home. The call may run if and only if
// the outcome is NotRun and the reason is empty. If the home refuses the claim
// because of an earlier call with the key, the outcome is that of the earlier
// call.
func (cl *Claimer) Claim(ctx context.Context, now time.Time, c gage.Call) gage.Claim {
	key := table.KeyOf(c)
	request := ClaimRequest{Shard: shardOf(key), Key: key, Request: attemptID(c)}
	reply, replyLost := cl.claimWithRetry(ctx, now, request)
	claim, isDefinite := claimFromReply(reply, request.Request)
	if isDefinite || !replyLost {
		return claim
	}
	// The home may have granted the claim, but this call will not run.
	cl.settleWithRetry(ctx, now, SettleRequest{
		Shard: request.Shard, Key: key, Request: request.Request, Outcome: gage.OutcomeNotRun,
	})
	return unknownClaim(gage.ReasonDuplicateUnknown)
}

// claimWithRetry returns the home's last reply, and whether a message may have
// arrived at the home although no reply to it was received.
func (cl *Claimer) claimWithRetry(ctx context.Context, now time.Time, r ClaimRequest) (reply ClaimReply, replyLost bool) {
	for range maxClaimAttempts {
		answer, err := cl.sendClaim(ctx, now, r)
		if err == nil {
			reply = answer
		}
		if err == nil && answer.Status != StatusNotHolder || ctx.Err() != nil {
			return reply, replyLost || mayHaveArrived(err)
		}
		replyLost = replyLost || mayHaveArrived(err)
	}
	return reply, replyLost
}

// mayHaveArrived reports whether a message that failed with err may have reached
// the other node.
func mayHaveArrived(err error) bool {
	return err != nil && !errors.Is(err, ErrNotSent)
}

// sendClaim claims a key once, in this process or by a message.
func (cl *Claimer) sendClaim(ctx context.Context, now time.Time, r ClaimRequest) (ClaimReply, error) {
	home, ok := cl.home(r.Shard)
	if !ok {
		return ClaimReply{}, fmt.Errorf("claim on shard %d: home is not known: %w", r.Shard, ErrNotSent)
	}
	if home.Holder == cl.self {
		return cl.keeper.Claim(ctx, now, r), nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return cl.peers.Claim(ctx, home.PeerAddress, r)
}

// home returns a shard's home slot, and false when its holder or the holder's
// address is not known.
func (cl *Claimer) home(shard int) (gage.ShareSlot, bool) {
	for _, slot := range cl.shares.Slots(shard) {
		if slot.Slot == homeSlot && (slot.PeerAddress != "" || slot.Holder == cl.self) {
			return slot, slot.Epoch > 0
		}
	}
	return gage.ShareSlot{}, false
}

// claimFromReply converts the home's reply. A reply is not definite if the
// home may have granted an earlier message of the same call.
func claimFromReply(reply ClaimReply, ticket string) (claim gage.Claim, isDefinite bool) {
	switch reply.Status {
	case StatusOK:
		return gage.Claim{Outcome: gage.OutcomeNotRun, Ticket: ticket}, true
	case StatusRan:
		return gage.Claim{Outcome: gage.OutcomeRan, Reason: gage.ReasonDuplicate, Answer: reply.Answer}, true
	case StatusRunning, StatusUnknown:
		return unknownClaim(gage.ReasonDuplicate), true
	case StatusNotCovered:
		return unknownClaim(gage.ReasonDuplicateUnknown), false
	default:
		return gage.Claim{Outcome: gage.OutcomeNotRun, Reason: gage.ReasonPeerFailed}, false
	}
}

func unknownClaim(reason gage.Reason) gage.Claim {
	return gage.Claim{
		Outcome: gage.OutcomeUnknown, Reason: reason,
		Answer: gage.Result{RetryAfter: duplicateRetryAfter},
	}
}

// Settle sends the outcome of a call with a granted claim to the home. For a call
// that did not run, Settle waits for the reply, since the caller may retry
// immediately. Otherwise it sends the outcome in the background. If
// maxBackgroundSettles messages are already being sent, it waits in this case
// too.
func (cl *Claimer) Settle(ctx context.Context, now time.Time, c gage.Call, claim gage.Claim, r gage.Result) {
	key := table.KeyOf(c)
	request := SettleRequest{
		Shard: shardOf(key), Key: key, Request: claim.Ticket, Outcome: r.Outcome,
	}
	if r.Outcome == gage.OutcomeRan && table.AnswerSize(r) <= table.MaxBytesPerAnswer {
		request.Answer = r
	}
	if r.Outcome == gage.OutcomeNotRun {
		cl.settleWithRetry(ctx, now, request)
		return
	}
	select {
	case cl.backgroundSettles <- struct{}{}:
		cl.startTask(func() {
			defer func() { <-cl.backgroundSettles }()
			cl.settleWithRetry(ctx, now, request)
		})
	default:
		cl.settleWithRetry(ctx, now, request)
	}
}

// settleWithRetry sends an outcome to the home of the key, at most
// maxSettleAttempts times. If all attempts fail, later claims on the key are
// refused with an unknown outcome.
func (cl *Claimer) settleWithRetry(ctx context.Context, now time.Time, r SettleRequest) {
	for range maxSettleAttempts {
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

// sendSettle reports whether the home stored the outcome. It ignores the
// cancellation of ctx, since the caller may disconnect before the outcome is
// stored.
func (cl *Claimer) sendSettle(ctx context.Context, address string, r SettleRequest) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	reply, err := cl.peers.Settle(ctx, address, r)
	return err == nil && reply.Status == StatusOK
}

func shardOf(key table.Key) int {
	return gage.ShardOf(string(key[:]))
}

// attemptID identifies one attempt of a request.
func attemptID(c gage.Call) string {
	return fmt.Sprintf("%s/%d", c.RequestID, c.Attempt)
}
