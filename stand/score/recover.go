package score

const (
	// recoveryWindowMicros is the length of the windows in which the share of
	// whole requests is compared with the baseline.
	recoveryWindowMicros = 500_000
	// minShareOfBaseline is the lowest share of whole requests, as a fraction of
	// the baseline's share, with which a window counts as recovered.
	minShareOfBaseline = 0.9
	// minRecoveredWindows is the number of consecutive recovered windows after
	// which the fleet counts as recovered.
	minRecoveredWindows = 3
)

// recoveryMillis looks for the first minRecoveredWindows consecutive windows that
// are recovered after the last trigger phase. It returns the time from the end of
// that phase to the start of these windows, or -1 when there are no such windows.
// Without a trigger phase it returns NoTrigger.
func recoveryMillis(phases []Phase, requests []request) int64 {
	triggerIndex := -1
	for i, phase := range phases {
		if phase.Role == RoleTrigger {
			triggerIndex = i
		}
	}
	if triggerIndex < 0 {
		return NoTrigger
	}
	baselineShare := roleShare(phases, requests, RoleBaseline)
	if baselineShare < 0 {
		baselineShare = 1
	}
	from := phases[triggerIndex].EndMicros
	until := phases[len(phases)-1].EndMicros
	recoveredWindows := 0
	for start := from; start+recoveryWindowMicros <= until; start += recoveryWindowMicros {
		within, whole := countWithin(requests, start, start+recoveryWindowMicros)
		if share(whole, within) < minShareOfBaseline*baselineShare {
			recoveredWindows = 0
			continue
		}
		recoveredWindows++
		if recoveredWindows == minRecoveredWindows {
			firstStart := start - (minRecoveredWindows-1)*recoveryWindowMicros
			return (firstStart - from) / 1000
		}
	}
	return -1
}
