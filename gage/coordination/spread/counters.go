package spread

import "github.com/VictoriaMetrics/metrics"

// counters are the metrics of a Spread.
type counters struct {
	documentsStored   *metrics.Counter
	exchangesAnswered *metrics.Counter
	exchangesFailed   *metrics.Counter
	pullsAnswered     *metrics.Counter
	pullsFailed       *metrics.Counter
	pullsDropped      *metrics.Counter
	pulledBytes       *metrics.Counter
	readsAnswered     *metrics.Counter
	readsFailed       *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	return &counters{
		documentsStored:   set.GetOrCreateCounter(`gage_spread_documents_total`),
		exchangesAnswered: set.GetOrCreateCounter(`gage_spread_exchanges_total{Result="Answered"}`),
		exchangesFailed:   set.GetOrCreateCounter(`gage_spread_exchanges_total{Result="Failed"}`),
		pullsAnswered:     set.GetOrCreateCounter(`gage_spread_pulls_total{Result="Answered"}`),
		pullsFailed:       set.GetOrCreateCounter(`gage_spread_pulls_total{Result="Failed"}`),
		pullsDropped:      set.GetOrCreateCounter(`gage_spread_pulls_total{Result="Dropped"}`),
		pulledBytes:       set.GetOrCreateCounter(`gage_spread_pulled_bytes_total`),
		readsAnswered:     set.GetOrCreateCounter(`gage_spread_store_reads_total{Result="Answered"}`),
		readsFailed:       set.GetOrCreateCounter(`gage_spread_store_reads_total{Result="Failed"}`),
	}
}
