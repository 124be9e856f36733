package check

// Cold holds that a cold target is never given more than it bears. A target
// that turned cold without a word may be overrun for ColdGrace.
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
			finding.addViolation("%s bears %d while cold and had %d, %d ms after it turned cold",
				run.Target, run.ColdSlots, run.Concurrency, run.ColdMicros/1000)
		}
	}
	return finding
}
