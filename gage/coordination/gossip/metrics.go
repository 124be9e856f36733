package gossip

import "github.com/VictoriaMetrics/metrics"

// agentMetrics are the counters of one agent.
type agentMetrics struct {
	inboxFull   *metrics.Counter
	sent        *metrics.Counter
	sendFailed  *metrics.Counter
	probes      *metrics.Counter
	suspicions  *metrics.Counter
	deaths      *metrics.Counter
	refutations *metrics.Counter
	thaws       *metrics.Counter
	syncs       *metrics.Counter
	records     *metrics.Counter
	newRecords  *metrics.Counter
	tableFull   *metrics.Counter
	badMessages *metrics.Counter
}

func newAgentMetrics(set *metrics.Set, a *Agent) agentMetrics {
	if set == nil {
		set = metrics.NewSet()
	}
	set.GetOrCreateGauge("GossipMembers", func() float64 { return float64(len(a.Members())) })
	return agentMetrics{
		inboxFull:   set.GetOrCreateCounter("GossipInboxFull"),
		sent:        set.GetOrCreateCounter("GossipMessagesSent"),
		sendFailed:  set.GetOrCreateCounter("GossipSendFailed"),
		probes:      set.GetOrCreateCounter("GossipProbes"),
		suspicions:  set.GetOrCreateCounter("GossipSuspicions"),
		deaths:      set.GetOrCreateCounter("GossipDeaths"),
		refutations: set.GetOrCreateCounter("GossipRefuted"),
		thaws:       set.GetOrCreateCounter("GossipThaws"),
		syncs:       set.GetOrCreateCounter("GossipSyncs"),
		records:     set.GetOrCreateCounter("GossipRecordsReceived"),
		newRecords:  set.GetOrCreateCounter("GossipNewRecordsReceived"),
		tableFull:   set.GetOrCreateCounter("GossipTableFull"),
		badMessages: set.GetOrCreateCounter("GossipBadMessages"),
	}
}

// copyFrom sets the counters that the core maintains to its present values.
func (m agentMetrics) copyFrom(core *Core) {
	m.probes.Set(core.Stats.Probes)
	m.suspicions.Set(core.Stats.Suspicions)
	m.deaths.Set(core.Stats.Deaths)
	m.refutations.Set(core.Stats.Refutations)
	m.thaws.Set(core.Stats.Thaws)
	m.syncs.Set(core.Stats.Syncs)
	m.records.Set(core.Stats.RecordsReceived)
	m.newRecords.Set(core.Stats.NewRecordsReceived)
	m.tableFull.Set(core.Stats.TableFull)
	m.badMessages.Set(core.Stats.BadMessages)
}
