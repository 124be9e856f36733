package check

// Cold checks that the number of concurrent runs at a cold target never exceeds
// its cold concurrency limit. A target that turned cold unannounced may exceed
// the limit for ColdGrace.
func Cold(in Input) Finding {
	finding := Finding{Check: "ColdTargetsAreSpared"}
	for _, run := range in.Runs {
		if !run.Cold {
			continue
		}
		finding.Checked++
		if run.TurnedCold && run.ColdMicros < in.ColdGrace.Microseconds() {
			continue
		}
		if run.Concurrency > run.ColdSlots {
			finding.addViolation("%s has a cold concurrency limit of %d and had %d runs in progress, %d ms after it turned cold",
				run.Target, run.ColdSlots, run.Concurrency, run.ColdMicros/1000)
		}
	}
	return finding
}
