package mesh

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/transport/hop"
)

const (
	// checkInterval is the time between identity checks of a suspect target.
	checkInterval = 250 * time.Millisecond
	checkTimeout  = 600 * time.Millisecond
	// stallTimeout is how long a target with requests in flight may send no
	// response before it becomes suspect. The time is longer for a target whose
	// requests usually run long.
	stallTimeout = 1200 * time.Millisecond
	// maxCold is the longest cold time that a target can name.
	maxCold = time.Hour
)

// monitor detects stalls and checks the identity of a suspect target until ctx
// ends.
func (t *localTarget) monitor(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-t.wake:
		}
		now := t.mesh.options.Clock.Now()
		t.checkStall(now)
		if check, due := t.checkDue(now); due {
			t.checkIdentity(ctx, check)
		}
	}
}

var errStalled = errors.New("the target has requests in flight but sends no responses")

func (t *localTarget) checkStall(now time.Time) {
	t.mu.Lock()
	stalled := t.identityConfirmed && t.gate.InFlight() > 0 && now.Sub(t.progressAt) > max(stallTimeout, 3*t.gate.MeanRunTime())
	gate := t.gate
	t.mu.Unlock()
	if stalled {
		t.markSuspect(now, gate, errStalled)
	}
}

// identityCheck is a health check that asks a target process for its identity.
type identityCheck struct {
	path string
	// id is the ID of the process that is expected to answer, "" if none is known.
	id      string
	askedAt time.Time
}

func (t *localTarget) checkDue(now time.Time) (check identityCheck, due bool) {
	s := t.mesh.site.Load()
	t.mu.Lock()
	defer t.mu.Unlock()
	if s == nil || t.identityConfirmed || t.zoneClosed || t.phase != gage.TargetServing || t.mesh.leaving.Load() {
		return identityCheck{}, false
	}
	service := s.Service(t.service)
	if service == nil || service.HealthPath == "" {
		return identityCheck{}, false
	}
	return identityCheck{path: service.HealthPath, id: t.id, askedAt: now}, true
}

// checkIdentity requests the target's health check path to learn its identity. The
// request names the expected process, so that the target of another service, whose health
// check path may be another, does not run it.
func (t *localTarget) checkIdentity(ctx context.Context, check identityCheck) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	names := t.mesh.options.HeaderNames
	header := http.Header{names.RequestID: {fmt.Sprintf("%016x", uint64(check.askedAt.UnixNano()))}, "Connection": {"close"}}
	if check.id != "" {
		header[names.ExpectedTarget] = []string{check.id}
	}
	response, err := t.checkClient.Do(ctx, check.askedAt, t.mesh.options.Self.TargetAddress, &hop.Request{
		Method: http.MethodGet, RequestURI: check.path, Host: t.mesh.options.Self.TargetAddress, Header: header,
	})
	t.mesh.stats.identityChecks.Inc()
	if err != nil {
		t.mesh.log.info("TargetNotChecked", zap.Error(err))
		return
	}
	defer func() { _ = response.Body.Close() }()
	targetID := response.Header.Get(names.TargetID)
	if targetID == "" && response.Status != http.StatusMisdirectedRequest {
		t.mesh.log.info("TargetNotChecked", zap.Int("Status", response.Status))
		return
	}
	t.handleIdentity(t.mesh.options.Clock.Now(), check, targetID, response.Status, response.Header)
}

// handleIdentity records the result of an identity check. The health that its status
// reports may be wrong, and is ignored for a process whose phase is known. Any other
// process may be leaving: it may have said so before this node started.
func (t *localTarget) handleIdentity(now time.Time, check identityCheck, id string, status int, header http.Header) {
	t.mu.Lock()
	defer t.mu.Unlock()
	wasReplaced := t.id != check.id && t.id != id
	if t.identityConfirmed || wasReplaced || check.askedAt.Before(t.doubtedAt) {
		return
	}
	if t.id != "" && id != t.id {
		t.handleOtherProcess(id)
		return
	}
	isHealthy := status >= 200 && status < 300
	if !isHealthy && !t.phaseKnown {
		t.mesh.log.info("TargetNotChecked", zap.String("Target", id), zap.Int("Status", status), zap.Bool("HasReported", t.hasReported))
		return
	}
	cold, isNamed, err := parseCold(header.Get(t.mesh.options.HeaderNames.ColdMillis))
	if err != nil {
		t.mesh.log.warn("TargetNotChecked", zap.String("Target", id), zap.Error(err))
		return
	}
	t.adoptIdentity(now, id, t.startedAt)
	t.readNotices(now, header)
	t.identityConfirmed, t.phaseKnown, t.progressAt, t.reopenedAt = true, true, now, time.Time{}
	t.updateColdRate()
	// A heartbeat that arrived since the question may be newer than the answer.
	if until := now.Add(cold); until.After(t.coldUntil) || isNamed && t.coldLearnedAt.Before(check.askedAt) {
		t.setCold(now, until)
	}
	t.mesh.options.Logger.Info("TargetChecked", zap.String("Target", id), zap.String("Service", t.service), zap.Duration("Cold", t.gate.ColdRemaining(now)))
	t.mesh.broadcastSoon()
}

// parseCold parses the time for which a target stays cold, in milliseconds. isNamed is
// false if the text is empty.
func parseCold(text string) (cold time.Duration, isNamed bool, err error) {
	if text == "" {
		return 0, false, nil
	}
	millis, err := strconv.ParseFloat(text, 64)
	// Written so that NaN is refused too.
	if isInRange := millis >= 0 && millis <= float64(maxCold.Milliseconds()); err != nil || !isInRange {
		return 0, false, fmt.Errorf("the cold time %.40q is not a number of milliseconds from 0 to %d", text, maxCold.Milliseconds())
	}
	return time.Duration(millis * float64(time.Millisecond)), true, nil
}

// handleOtherProcess records that another process than the known one answers at the
// target's address. It may be of another service, whose health check path this node does
// not know, so that only a heartbeat can bring the target back. id is "" if the process
// did not name its own.
func (t *localTarget) handleOtherProcess(id string) {
	t.mesh.options.Logger.Info("TargetReplaced", zap.String("Target", t.id), zap.String("Service", t.service), zap.String("Found", id))
	t.service, t.hasReported = "", false
}
