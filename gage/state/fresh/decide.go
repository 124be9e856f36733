package fresh

import "time"

// IsolationBound is the age above which a read of the store no longer counts in
// a Verdict.
const IsolationBound = 10 * time.Second

// Verdict is the decision whether a node may admit callers by their API keys,
// with the reason.
type Verdict string

// The verdicts.
const (
	// Confirmed means that a complete read of the store began within the bound
	// and that this node has all that the reader knew then.
	Confirmed Verdict = "Confirmed"
	// StoreOutage means that readers in more than half of the zones tried to
	// read the store within the bound and that none succeeded. Callers are
	// admitted, since the configuration is assumed not to change in an outage.
	StoreOutage Verdict = "StoreOutage"
	// Isolated means that reports from too few zones are recent enough to tell
	// an outage of the store from an isolation of this node.
	Isolated Verdict = "Isolated"
	// NoConfig means that the node has not received any configuration yet.
	NoConfig Verdict = "NoConfig"
)

// Serves reports whether the node may admit callers by their API keys.
func (v Verdict) Serves() bool {
	return v == Confirmed || v == StoreOutage
}

// View is the state of a node's copy of the configuration.
type View struct {
	// Generation is that of the configuration in force, 0 when there is none.
	Generation int64
	// Reports has one entry for each zone of the fleet, including zones of which
	// no read of the store is known.
	Reports []Report
}

// Decide returns the verdict on a view at now. Reads older than bound do not
// count.
func Decide(now time.Time, v View, bound time.Duration) Verdict {
	if v.Generation == 0 {
		return NoConfig
	}
	triedZones := 0
	for _, r := range v.Reports {
		if isWithin(now, r.ReachedAt, bound) {
			return Confirmed
		}
		if isWithin(now, r.TriedAt, bound) {
			triedZones++
		}
	}
	if 2*triedZones > len(v.Reports) {
		return StoreOutage
	}
	return Isolated
}

func isWithin(now, t time.Time, bound time.Duration) bool {
	return !t.IsZero() && Age(now, t) <= bound
}
