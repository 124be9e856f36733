// Package quota enforces the fleet-wide rate and burst of each workspace.
//
// The workspaces are divided over shards, and each shard has several slots; at
// any time at most one process may serve a slot (see package share). The limits
// of a workspace are divided equally over some or all slots of its shard. The
// process that holds a slot grants tokens from a token bucket with the slot's
// part of the limits. Each node requests tokens from these holders for the
// calls that enter the fleet at that node.
package quota

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagewind/greengagewind/gage"
)

const (
	// MaxGrantTTL is the longest time between the request for a token and the use
	// of the token.
	MaxGrantTTL = 250 * time.Millisecond
	// maxClockDrift is the greatest relative deviation of a clock's speed.
	maxClockDrift = 0.0005
	// ttlBurstFraction bounds Limits.GrantTTL. Tokens that are granted but not yet
	// used are reserved from the burst, and the reservation grows with GrantTTL. It
	// may be at most this fraction of burst - 1.
	ttlBurstFraction = 0.25
	// minSlotBurst is the lowest burst of a slot, in tokens, if limits are divided
	// over several slots. Fractions of a token in different slots cannot be
	// combined. With smaller bursts, calls within the rate would therefore be
	// refused.
	minSlotBurst = 4
)

// Limits are the limits of a workspace as they are divided over its slots.
type Limits struct {
	// Rate is the sum of the slots' rates, in tokens a second.
	Rate float64
	// Burst is the sum of the slots' bursts, in tokens. It is the workspace's
	// burst less the tokens that the workspace's rate adds within GrantTTL. It is
	// at least 1 if the workspace's burst is at least 2.
	Burst float64
	// GrantTTL is the time from the request for a token to the token's expiry.
	// Tokens used in an interval of length t were granted in an interval of length
	// t + GrantTTL, so their number is at most Rate*(t+GrantTTL) + Burst. Burst is
	// chosen so that Rate*GrantTTL + Burst is at most the workspace's burst.
	GrantTTL time.Duration
	// Slots is the number of slots over which the limits are divided.
	Slots int
}

// LimitsOf returns the limits for a workspace that has a Rate and a Burst.
func LimitsOf(w gage.Workspace) Limits {
	ttl := MaxGrantTTL
	if ttlSeconds := (w.Burst - 1) * ttlBurstFraction / w.Rate; ttlSeconds < MaxGrantTTL.Seconds() {
		ttl = time.Duration(ttlSeconds * float64(time.Second))
	}
	burst := w.Burst - w.Rate*ttl.Seconds()*(1+maxClockDrift)
	slots := min(gage.MaxSlotsPerShard, max(1, int(burst/minSlotBurst)))
	return Limits{Rate: w.Rate * (1 - maxClockDrift), Burst: burst, GrantTTL: ttl, Slots: slots}
}

// slotLimits is one slot's part of a workspace's limits.
type slotLimits struct {
	rate     float64
	burst    float64
	grantTTL time.Duration
}

// slotLimitsOf returns zero rate and burst when the workspace's limits are not
// divided over this slot.
func slotLimitsOf(w gage.Workspace, slot int) slotLimits {
	limits := LimitsOf(w)
	if slotPosition(w.Name, slot) >= limits.Slots {
		return slotLimits{grantTTL: limits.GrantTTL}
	}
	count := float64(limits.Slots)
	return slotLimits{rate: limits.Rate / count, burst: limits.Burst / count, grantTTL: limits.GrantTTL}
}

// slotPosition returns the position of a slot, from 0, in the order in which a
// workspace uses the slots of its shard. The order starts at a slot that
// depends on the workspace's name, so that the workspaces that use only some
// slots are spread over all slots.
func slotPosition(workspace string, slot int) int {
	first := int(xxhash.Sum64String(workspace) / gage.ShardCount % gage.MaxSlotsPerShard)
	return (slot - first + gage.MaxSlotsPerShard) % gage.MaxSlotsPerShard
}

// minLimits returns the lower value of each limit.
func minLimits(a, b slotLimits) slotLimits {
	return slotLimits{
		rate:     math.Min(a.rate, b.rate),
		burst:    math.Min(a.burst, b.burst),
		grantTTL: min(a.grantTTL, b.grantTTL),
	}
}
