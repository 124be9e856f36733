package check

// OutOfService checks that a target starts no run in a period in which it is out of
// service. Runs that start within OutOfServiceGrace after the start of the period
// are allowed.
func OutOfService(in Input) Finding {
	finding := Finding{Check: "NoNewWorkOutOfService"}
	for _, run := range in.Runs {
		for _, period := range in.OutOfServicePeriods {
			if run.Target != period.Target || run.StartMicros < period.FromMicros || run.StartMicros >= period.ToMicros {
				continue
			}
			finding.Checked++
			if elapsed := run.StartMicros - period.FromMicros; elapsed > in.OutOfServiceGrace.Microseconds() {
				finding.addViolation("%s started %s %d ms after it was taken out of service", run.Target, run.ID, elapsed/1000)
			}
		}
	}
	return finding
}
