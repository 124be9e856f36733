package ration

import (
	"math"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

const (
	// TokenLifetime is how long a node may use a token, from when it asked for it.
	TokenLifetime = 500 * time.Millisecond
	// prefetchSpan is the time for whose expected demand a node asks in advance.
	prefetchSpan = 150 * time.Millisecond
	// maxPrefetch bounds the tokens of one request.
	maxPrefetch = 32
	// demandHalfLife is the half-life with which the measured demand decays.
	demandHalfLife = time.Second
	// refusalMemory is how long a node refuses requests of a workspace without asking
	// again, after an issuer has refused a request without a promise.
	refusalMemory = 60 * time.Millisecond
)

// Purse holds the tokens that were granted to this node. It is not safe for
// concurrent use.
type Purse struct {
	pockets map[string]*pocket
}

// pocket holds the tokens of one workspace.
type pocket struct {
	// tokens holds the expiry times of the tokens, in the order in which they were
	// granted.
	tokens []time.Time
	// demand is the decayed demand as of demandAt, in requests per second.
	demand   float64
	demandAt time.Time
	// Until refusedUntil, the issuers are assumed to refuse a request that is not a
	// return.
	refusedUntil time.Time
	// promiser is the issuer that last told a caller when to return.
	promiser string
}

// NewPurse returns an empty purse.
func NewPurse() *Purse { return &Purse{pockets: make(map[string]*pocket)} }

func (p *Purse) pocket(workspace string) *pocket {
	k := p.pockets[workspace]
	if k == nil {
		k = &pocket{}
		p.pockets[workspace] = k
	}
	return k
}

// Retain removes the tokens of the workspaces for which keep returns false.
func (p *Purse) Retain(keep func(workspace string) bool) {
	for workspace := range p.pockets {
		if !keep(workspace) {
			delete(p.pockets, workspace)
		}
	}
}

// CountDemand counts a request of a workspace as demand.
func (p *Purse) CountDemand(now time.Time, workspace string) {
	k := p.pocket(workspace)
	if elapsed := now.Sub(k.demandAt); elapsed > 0 {
		k.demand *= math.Exp2(-float64(elapsed) / float64(demandHalfLife))
		k.demandAt = now
	}
	k.demand += math.Ln2 / demandHalfLife.Seconds()
}

// Take takes a token of a workspace and returns when it expires. It returns false if
// there is none.
func (p *Purse) Take(now time.Time, workspace string) (expiresAt time.Time, ok bool) {
	k := p.pocket(workspace)
	for len(k.tokens) > 0 {
		expiresAt, k.tokens = k.tokens[0], k.tokens[1:]
		if gage.HasTimeLeft(now, expiresAt) {
			return expiresAt, true
		}
	}
	return time.Time{}, false
}

// Add adds tokens that a node asked for at askedAt.
func (p *Purse) Add(askedAt time.Time, workspace string, count int) {
	k := p.pocket(workspace)
	for range count {
		k.tokens = append(k.tokens, askedAt.Add(TokenLifetime))
	}
}

// PutBack returns the token of a request that did not run. The token expires at
// expiresAt, as before.
func (p *Purse) PutBack(now time.Time, workspace string, expiresAt time.Time) {
	if !gage.HasTimeLeft(now, expiresAt) {
		return
	}
	k := p.pocket(workspace)
	k.tokens = append([]time.Time{expiresAt}, k.tokens...)
}

// WantedCount returns how many tokens of a workspace to ask for.
func (p *Purse) WantedCount(workspace string) int {
	return 1 + min(int(p.pocket(workspace).demand*prefetchSpan.Seconds()), maxPrefetch-1)
}

// Refused records that all issuers have refused a request of a workspace, the issuer
// promiser with the given wait.
func (p *Purse) Refused(now time.Time, workspace, promiser string, wait time.Duration) {
	k := p.pocket(workspace)
	k.promiser = promiser
	if wait >= NoRoomWait {
		k.refusedUntil = now.Add(refusalMemory)
	}
}

// IsRefused reports whether the issuers are assumed to refuse a request of a workspace
// without a promise.
func (p *Purse) IsRefused(now time.Time, workspace string) bool {
	return now.Before(p.pocket(workspace).refusedUntil)
}

// Promiser returns the issuer that last told a caller of the workspace when to
// return, or "".
func (p *Purse) Promiser(workspace string) string { return p.pocket(workspace).promiser }
