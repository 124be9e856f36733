// Package ration decides which nodes issue tokens of the fleet-wide rate of a
// workspace, how many they issue, and how long a node may use them.
package ration

import (
	"math"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/bucket"
)

const (
	// initialFillFraction is the fraction of an issuer's part of the burst that its
	// bucket gets when the node becomes an issuer. It is small, because the tokens that
	// earlier issuers granted are not known. A node that hears a part of the fleet gets
	// that part of it, and the rest as it hears more: the fewer others nodes hear, the
	// more of them believe that they are issuers.
	initialFillFraction = 0.2
	// minInitialFill is the smallest initial fill of all issuers of a workspace together,
	// in requests, if the burst is not smaller.
	minInitialFill = 4
	// A refused caller is promised a token only if one is due within promiseHorizon.
	// Most callers cannot wait longer.
	promiseHorizon = time.Second
	// NoRoomWait is the wait that is returned to callers who are promised nothing.
	NoRoomWait = 2 * time.Second
	// A caller who returns up to returnEarly before the promised time still has a
	// promise. A promise lapses returnGrace after that time.
	returnEarly = 100 * time.Millisecond
	returnGrace = 400 * time.Millisecond
	// promisedShare is the share of the rate that is kept for callers who return. The
	// rest is left to new requests.
	promisedShare = 0.5
	// maxPromises bounds the promises of one workspace.
	maxPromises = 256
)

// Limits are the fleet-wide limits of a workspace.
type Limits struct {
	// Rate is in requests per second, at least 0.
	Rate float64
	// Burst is the size of the token bucket in requests, at least 1.
	Burst float64
}

// Issuer issues tokens from this node's part of each workspace's rate. It is not
// safe for concurrent use.
type Issuer struct {
	accounts map[string]*account
}

// account is the part of one workspace's rate that this node issues.
type account struct {
	bucket bucket.Bucket
	// openedAt is when the bucket was last reset.
	openedAt time.Time
	// filledFor is the fraction of the fleet for which the bucket has got its initial
	// fill.
	filledFor float64
	// promises holds the times at which refused callers were told to return, in
	// ascending order.
	promises []time.Time
}

// NewIssuer returns an issuer that has issued nothing.
func NewIssuer() *Issuer { return &Issuer{accounts: make(map[string]*account)} }

// Retain removes the accounts of the workspaces for which keep returns false.
func (i *Issuer) Retain(keep func(workspace string) bool) {
	for workspace := range i.accounts {
		if !keep(workspace) {
			delete(i.accounts, workspace)
		}
	}
}

// Issue answers a request for tokens of a workspace. Since is when this node became
// an issuer of the workspace. Part is the fraction of the limits that it issues, in
// (0, 1]. Live, in [0, 1], is the fraction of the fleet that the node receives states
// from: the issuers on the other side of a network partition issue the rest.
func (i *Issuer) Issue(now, since time.Time, r gage.TokenRequest, limits Limits, part, live float64) gage.TokenGrant {
	a := i.accounts[r.Workspace]
	burst := math.Max(1, limits.Burst*part)
	if a == nil || a.openedAt.Before(since) {
		a = &account{openedAt: now, bucket: bucket.New(since, limits.Rate*part*live, burst)}
		i.accounts[r.Workspace] = a
	}
	a.bucket.SetLimits(now, limits.Rate*part*live, burst)
	if live > a.filledFor {
		initialFill := part * math.Max(initialFillFraction*limits.Burst, minInitialFill)
		a.bucket.Tokens = math.Min(burst, a.bucket.Tokens+initialFill*(live-a.filledFor))
		a.filledFor = live
	}
	a.dropLapsed(now)
	free := a.bucket.Tokens
	if !r.Returning || !a.redeem(now) {
		free = a.unpromised(now)
	}
	if free >= 1 {
		return gage.TokenGrant{ID: r.ID, Status: gage.TokensGranted, Count: a.bucket.Take(now, max(1, min(r.Count, int(free/2))))}
	}
	return gage.TokenGrant{ID: r.ID, Status: gage.TokensRefused, Wait: a.promise(now, r.Last && !r.Returning)}
}

// dropLapsed drops the promises that were not redeemed in time.
func (a *account) dropLapsed(now time.Time) {
	lapsed := 0
	for lapsed < len(a.promises) && now.Sub(a.promises[lapsed]) > returnGrace {
		lapsed++
	}
	a.promises = a.promises[lapsed:]
}

// redeem removes the earliest promise if it is due and there is a token for it. It
// reports whether it did.
func (a *account) redeem(now time.Time) bool {
	if a.bucket.Tokens < 1 || len(a.promises) == 0 || a.promises[0].Sub(now) > returnEarly {
		return false
	}
	a.promises = a.promises[1:]
	return true
}

// unpromised returns the number of tokens that can be taken without breaking a
// promise.
func (a *account) unpromised(now time.Time) float64 {
	free := a.bucket.Tokens
	for k, due := range a.promises {
		untilDue := math.Max(0, due.Sub(now).Seconds())
		free = math.Min(free, a.bucket.Tokens+a.bucket.Rate*untilDue-float64(k+1))
	}
	return free
}

// promise returns the time until a further token is due. If keep is true, it also
// keeps a token for the caller who returns then.
func (a *account) promise(now time.Time, keep bool) time.Duration {
	due := now.Add(timeFor(1-a.bucket.Tokens, a.bucket.Rate))
	if last := len(a.promises) - 1; last >= 0 {
		if next := a.promises[last].Add(timeFor(1, promisedShare*a.bucket.Rate)); next.After(due) {
			due = next
		}
	}
	wait := due.Sub(now)
	if wait > promiseHorizon {
		return NoRoomWait
	}
	if keep && len(a.promises) < maxPromises {
		a.promises = append(a.promises, due)
	}
	return wait
}

// timeFor returns the time in which tokens become due at a rate, at most NoRoomWait.
func timeFor(tokens, rate float64) time.Duration {
	if tokens <= 0 {
		return 0
	}
	if rate*NoRoomWait.Seconds() < tokens {
		return NoRoomWait
	}
	return time.Duration(tokens / rate * float64(time.Second))
}
