package admit

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/greengagewind/greengagewind/gage"
)

// targetMetrics are the metrics of one target.
type targetMetrics struct {
	set      *metrics.Set
	target   string
	admitted *metrics.Counter
	// dropped counts the requests and cancellations that were dropped because
	// their channel was full.
	dropped  *metrics.Counter
	limit    *metrics.Gauge
	inFlight *metrics.Gauge
	queued   *metrics.Gauge
	shedRank *metrics.Gauge
}

func newTargetMetrics(set *metrics.Set, target string) *targetMetrics {
	withTarget := func(metric string) string {
		return fmt.Sprintf(`%s{Target=%q}`, metric, target)
	}
	return &targetMetrics{
		set:      set,
		target:   target,
		admitted: set.GetOrCreateCounter(withTarget("AdmitAdmitted")),
		dropped:  set.GetOrCreateCounter(withTarget("AdmitDropped")),
		limit:    set.GetOrCreateGauge(withTarget("AdmitLimit"), nil),
		inFlight: set.GetOrCreateGauge(withTarget("AdmitInFlight"), nil),
		queued:   set.GetOrCreateGauge(withTarget("AdmitQueued"), nil),
		shedRank: set.GetOrCreateGauge(withTarget("AdmitShedRank"), nil),
	}
}

func (m *targetMetrics) countRefusal(reason gage.Reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`AdmitRefused{Target=%q,Reason=%q}`, m.target, reason)).Inc()
}

func (m *targetMetrics) setLoad(load gage.Load) {
	m.limit.Set(float64(load.Limit))
	m.inFlight.Set(float64(load.InFlight))
	m.queued.Set(float64(load.Queued))
	m.shedRank.Set(float64(load.ShedRank))
}
