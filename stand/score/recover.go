package score

const (
	// recoveryWindowMicros is the length of the windows in which the share of
	// whole requests is compared with the baseline.
	recoveryWindowMicros = 500_000
	// recoveredShare is the fraction of the baseline's share that a window needs
	// to count as recovered.
	recoveredShare = 0.9
	// steadyWindows is the number of consecutive recovered windows that make a
	// recovery.
	steadyWindows = 3
)

// recoveryMillis returns the time from the end of the last trigger phase to the
// start of the first steadyWindows consecutive windows that are recovered. It
// returns -1 when there are none, and NoTrigger without a trigger phase.
func recoveryMillis(phases []Phase, requests []request) int64 {
	trigger := -1
	for i, phase := range phases {
		if phase.Role == RoleTrigger {
			trigger = i
		}
	}
	if trigger < 0 {
		return NoTrigger
	}
	baseline := roleShare(phases, requests, RoleBaseline)
	if baseline < 0 {
		baseline = 1
	}
	from := phases[trigger].EndMicros
	until := phases[len(phases)-1].EndMicros
	recoveredWindows := 0
	for start := from; start+recoveryWindowMicros <= until; start += recoveryWindowMicros {
		within, whole := countWithin(requests, start, start+recoveryWindowMicros)
		if share(whole, within) < recoveredShare*baseline {
			recoveredWindows = 0
			continue
		}
		recoveredWindows++
		if recoveredWindows == steadyWindows {
			firstStart := start - (steadyWindows-1)*recoveryWindowMicros
			return (firstStart - from) / 1000
		}
	}
	return -1
}
