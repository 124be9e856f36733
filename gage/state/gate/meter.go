package gate

import "time"

// Windows and smoothing factors of the measurements.
const (
	rateWindow = 100 * time.Millisecond
	// rateGain and latencyGain are the weights of a new value in the moving
	// averages.
	rateGain         = 0.3
	latencyGain      = 0.1
	minLatencyWindow = 10 * time.Second
)

// meter measures the latency and the completion rate of a target.
type meter struct {
	// latency is an exponentially weighted moving average over the calls that
	// did not fail. 0 means unknown.
	latency time.Duration
	// completionRate is an exponentially weighted moving average over windows, in
	// calls per second. It includes failed calls. 0 means unknown.
	completionRate float64
	// rateWindowStart and completions belong to the open rate window.
	rateWindowStart time.Time
	completions     int
	// lowestLatency is the lowest latency in the open window of length minLatencyWindow.
	// previousLowestLatency is the lowest latency in the window before it. 0 means unknown.
	lowestLatency         time.Duration
	previousLowestLatency time.Duration
	lowestWindowStart     time.Time
}

// observe records the end of a call.
func (m *meter) observe(now time.Time, latency time.Duration, failed bool) {
	m.completions++
	m.closeWindows(now)
	if failed {
		return
	}
	if m.latency == 0 {
		m.latency = latency
	}
	m.latency += time.Duration(latencyGain * float64(latency-m.latency))
	if m.lowestLatency == 0 || latency < m.lowestLatency {
		m.lowestLatency = latency
	}
}

// closeWindows closes the windows that have reached their length at now and
// starts the next ones.
func (m *meter) closeWindows(now time.Time) {
	if m.rateWindowStart.IsZero() {
		m.rateWindowStart, m.lowestWindowStart = now, now
	}
	if length := now.Sub(m.rateWindowStart); length >= rateWindow {
		rate := float64(m.completions) / length.Seconds()
		if m.completionRate == 0 {
			m.completionRate = rate
		}
		m.completionRate += rateGain * (rate - m.completionRate)
		m.completions, m.rateWindowStart = 0, now
	}
	if now.Sub(m.lowestWindowStart) >= minLatencyWindow {
		m.previousLowestLatency, m.lowestLatency, m.lowestWindowStart = m.lowestLatency, 0, now
	}
}

// minLatency returns the lowest latency in the open and the previous window, or
// 0 if it is unknown.
func (m *meter) minLatency() time.Duration {
	if m.lowestLatency == 0 || m.previousLowestLatency > 0 && m.previousLowestLatency < m.lowestLatency {
		return m.previousLowestLatency
	}
	return m.lowestLatency
}

// timeToServe returns how long the target takes to complete a number of calls at
// its present rate, or 0 if the rate is unknown.
func (m *meter) timeToServe(calls int) time.Duration {
	if m.completionRate <= 0 {
		return 0
	}
	return time.Duration(float64(calls) / m.completionRate * float64(time.Second))
}
