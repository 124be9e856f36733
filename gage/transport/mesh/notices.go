package mesh

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/roster"
	"github.com/greengagewind/greengagewind/gage/state/slots"
)

// A notice is what a target says of itself in the header of a response: that it limits
// its rate, or that it leaves.

// handleNotices applies the notices in a response to a request that gate admitted at
// admittedAt, unless it may be that of an earlier target process.
func (t *localTarget) handleNotices(now, admittedAt time.Time, gate *slots.Gate, header http.Header) {
	names := t.mesh.options.HeaderNames
	t.mu.Lock()
	defer t.mu.Unlock()
	if gate != t.gate || admittedAt.Before(t.adoptedAt) {
		return
	}
	t.hasAnswered = true
	if header[names.RateLimit] == nil && header[names.Leaving] == nil && !gate.RateLimited() {
		return
	}
	wasLeaving, wasLimited := t.saidLeaving, gate.RateLimited()
	if header[names.RateLimit] == nil && now.Sub(t.rateLimitedAt) > rateLimitHold {
		t.setRate(now, math.Inf(1))
	}
	t.readNotices(now, header)
	t.advanceAtNextToken(now)
	if t.saidLeaving != wasLeaving || gate.RateLimited() != wasLimited {
		t.mesh.broadcastSoon()
	}
}

// readNotices applies the notices in a response of the present target process. It ends no
// rate limit, since a health check need not name the limit. The caller must hold mu.
func (t *localTarget) readNotices(now time.Time, header http.Header) {
	names := t.mesh.options.HeaderNames
	rate, isNamed, err := parseRateLimit(header[names.RateLimit])
	switch {
	case err != nil:
		t.mesh.log.warn("RateLimitNotRead", zap.String("Target", t.id), zap.Error(err))
	case isNamed:
		t.rateLimitedAt = now
		t.setRate(now, rate)
	}
	isLeaving, err := parseLeaving(header[names.Leaving])
	if err != nil {
		t.mesh.log.warn("LeavingNotRead", zap.String("Target", t.id), zap.Error(err))
	}
	if isLeaving && !t.saidLeaving {
		t.saidLeaving = true
		if t.phase == gage.TargetServing {
			t.setPhase(now, gage.TargetDraining)
		}
		t.mesh.options.Logger.Info("TargetLeaving", zap.String("Target", t.id))
	}
}

// setRate sets the rate limit of the gate. It logs when a limit begins and ends.
func (t *localTarget) setRate(now time.Time, rate float64) {
	wasLimited := t.gate.RateLimited()
	t.gate.SetRate(now, rate)
	if t.gate.RateLimited() != wasLimited {
		t.mesh.options.Logger.Info("TargetRateChanged", zap.String("Target", t.id), zap.Float64("Rate", rate), zap.Bool("Limited", !wasLimited))
	}
}

// parseRateLimit returns the lowest of the limits in the lines of a header, in requests
// per second. isNamed is false if there is none. It returns an error if none of those
// given is a number of 0 or more.
func parseRateLimit(lines []string) (rate float64, isNamed bool, err error) {
	rate = math.Inf(1)
	for _, line := range lines {
		for _, text := range strings.Split(line, ",") {
			value, parseErr := strconv.ParseFloat(strings.TrimSpace(text), 64)
			if parseErr != nil || !(value >= 0) || math.IsInf(value, 1) {
				if err == nil {
					err = fmt.Errorf("the rate limit %.40q is not a number of 0 or more", text)
				}
				continue
			}
			rate, isNamed = min(rate, value), true
		}
	}
	if isNamed {
		err = nil
	}
	return rate, isNamed, err
}

// parseLeaving reports whether the lines of a header say that a target leaves.
func parseLeaving(lines []string) (bool, error) {
	isLeaving := false
	for _, line := range lines {
		value, err := strconv.ParseBool(strings.TrimSpace(line))
		if err != nil {
			return isLeaving, fmt.Errorf("the notice of leaving %.40q is neither 1 nor 0", line)
		}
		isLeaving = isLeaving || value
	}
	return isLeaving, nil
}

// rememberNotices records the notices in a response to a request of this VM. The node
// beside the target heeds them too, but it may restart.
func (m *Mesh) rememberNotices(peer roster.Peer, r *attemptResult) {
	if r.header == nil {
		return
	}
	names := m.options.HeaderNames
	rate, _, _ := parseRateLimit(r.header[names.RateLimit])
	isLeaving, _ := parseLeaving(r.header[names.Leaving])
	m.roster.TargetSays(m.options.Clock.Now(), peer.Target, roster.Notices{IsLeaving: isLeaving, RateLimit: rate})
}
