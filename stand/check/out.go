package check

// OutOfService holds that a target out of service begins no run after a grace period.
func OutOfService(in Input) Finding {
	finding := Finding{Check: "NoNewWorkOutOfService"}
	for _, run := range in.Runs {
		for _, out := range in.OutOfServicePeriods {
			if run.Target != out.Target || run.StartMicros < out.FromMicros || run.StartMicros >= out.ToMicros {
				continue
			}
			finding.Checked++
			if late := run.StartMicros - out.FromMicros; late > in.OutOfServiceGrace.Microseconds() {
				finding.addViolation("%s began %s %d ms after it was taken out", run.Target, run.ID, late/1000)
			}
		}
	}
	return finding
}
