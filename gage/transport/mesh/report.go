package mesh

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
)

const (
	// maxHeartbeatDelay is the time within which a heartbeat arrives. What it says may be
	// that old.
	maxHeartbeatDelay = 10 * time.Second
	// A node remembers rememberDeparted, and at most maxDeparted, target processes that
	// have said that they are gone.
	rememberDeparted = 10 * time.Minute
	maxDeparted      = 64
)

// Heartbeat is the state that a target reports about itself.
type Heartbeat struct {
	// ID usually identifies one process of the target. Processes with the same
	// ID differ in StartedAt.
	ID string
	// StartedAt is the Unix time in milliseconds at which the target process
	// started, 0 if the heartbeat does not state it.
	StartedAt int64
	// Sequence grows with each heartbeat of one process.
	Sequence int64
	Service  string
	Slots    int
	Phase    gage.TargetPhase
	// Cold is how long the target stays cold, from the time of the heartbeat.
	Cold time.Duration
}

// departure is what a target process said when it was gone.
type departure struct {
	// startedAt is the Unix time in milliseconds that the process did not start after.
	startedAt int64
	heardAt   time.Time
}

// HandleHeartbeat applies a heartbeat of the target on this VM. An outdated
// heartbeat is ignored.
func (m *Mesh) HandleHeartbeat(now time.Time, r Heartbeat) {
	t := m.localTarget
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isStale(r) {
		m.log.info("ReportIgnored", zap.String("Target", r.ID), zap.Int64("Born", r.StartedAt), zap.Int64("Sequence", r.Sequence),
			zap.String("Known", t.id), zap.Int64("KnownBorn", t.startedAt), zap.Int64("KnownSequence", t.sequence))
		return
	}
	stateBefore := t.stateLocked(now)
	t.adoptIdentity(now, r.ID, r.StartedAt)
	t.sequence, t.service, t.hasReported = r.Sequence, r.Service, true
	t.phaseKnown = t.phaseKnown || r.Phase != gage.TargetServing || t.sentSince(now, t.createdAt)
	if t.sentSince(now, t.reopenedAt) {
		t.reopenedAt = time.Time{}
	}
	t.identityConfirmed = t.phaseKnown && t.reopenedAt.IsZero()
	if !t.identityConfirmed {
		t.wakeMonitor()
	}
	if !t.saidLeaving || r.Phase != gage.TargetServing {
		t.setPhase(now, r.Phase)
	}
	if r.Slots > 0 {
		t.gate.Limit = max(1, int(float64(r.Slots)*slotUtilization))
	}
	t.updateColdRate()
	if until := now.Add(r.Cold); until.After(t.coldUntil) || t.sentSince(now, t.coldLearnedAt) {
		t.setCold(now, until)
	}
	t.gate.Advance(now)
	stateAfter := t.stateLocked(now)
	if stateBefore.ID != stateAfter.ID || stateBefore.Phase != stateAfter.Phase || stateBefore.Service != stateAfter.Service || (stateBefore.ColdRemaining > 0) != (stateAfter.ColdRemaining > 0) {
		m.options.Logger.Info("TargetChanged", zap.String("Target", r.ID), zap.String("Service", r.Service), zap.String("Phase", string(r.Phase)),
			zap.Duration("Cold", r.Cold), zap.Int("Slots", r.Slots), zap.Int64("Born", r.StartedAt), zap.Int64("Sequence", r.Sequence))
		m.broadcastSoon()
	}
}

// setCold records when the cold start of the target ends.
func (t *localTarget) setCold(now, until time.Time) {
	t.coldUntil, t.coldLearnedAt = until, now
	t.gate.SetCold(now, until)
}

// sentSince reports whether a heartbeat that arrives now was certainly sent after a time.
func (t *localTarget) sentSince(now, earlier time.Time) bool {
	return now.Sub(earlier) > maxHeartbeatDelay
}

// isStale reports whether a heartbeat is older than the known state.
func (t *localTarget) isStale(r Heartbeat) bool {
	if d, found := t.departed[r.ID]; found && r.StartedAt <= d.startedAt {
		return true
	}
	if r.StartedAt != t.startedAt {
		return r.StartedAt < t.startedAt
	}
	if r.ID != t.id {
		return t.id != "" && t.startedAt != 0
	}
	return r.Sequence <= t.sequence || t.phase == gage.TargetGone
}

// Depart marks the target process with the given ID as permanently gone. startedAt
// is the Unix time in milliseconds at which that process started, or 0 if unknown.
// If another target process is known, or if a known startedAt is before the start of the
// current process, the current process stays in service.
func (m *Mesh) Depart(now time.Time, id string, startedAt int64) {
	t := m.localTarget
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rememberDeparture(now, id, startedAt)
	if t.id == "" {
		// This node has restarted. A later process of the target starts after now.
		t.adoptIdentity(now, id, max(startedAt, now.UnixMilli()))
	}
	if id != t.id || (startedAt != 0 && startedAt < t.startedAt && t.hasReported) {
		return
	}
	t.setPhase(now, gage.TargetGone)
	m.options.Logger.Info("TargetChanged", zap.String("Target", id), zap.String("Phase", string(gage.TargetGone)))
	m.broadcastSoon()
}

// rememberDeparture keeps heartbeats of a process that is gone, and that arrive late, from
// bringing it back.
func (t *localTarget) rememberDeparture(now time.Time, id string, startedAt int64) {
	maps.DeleteFunc(t.departed, func(_ string, d departure) bool { return now.Sub(d.heardAt) > rememberDeparted })
	if startedAt == 0 {
		startedAt = now.UnixMilli()
		if id == t.id && t.startedAt != 0 {
			startedAt = t.startedAt
		}
	}
	if _, found := t.departed[id]; found || len(t.departed) < maxDeparted {
		t.departed[id] = departure{startedAt: max(startedAt, t.departed[id].startedAt), heardAt: now}
	}
}
