package spread

import (
	"context"
	"slices"
	"time"

	"github.com/greengagewind/greengagewind/gage/state/fresh"
)

const (
	// exchangeTimeout bounds one exchange. It is only a little longer than
	// gossipInterval, so that an unresponsive neighbor delays gossip by about one round.
	exchangeTimeout = 400 * time.Millisecond
	// zoneRetention is how long a zone counts as part of the fleet after its
	// readers last tried to read the store.
	zoneRetention = 24 * time.Hour
	// The confirmation of a node is overdue once ConfirmedAt is
	// confirmationOverdueAfter ago. The node then requests the ages of all zones,
	// and it may read the store even if it is not a reader.
	confirmationOverdueAfter = 4 * time.Second
	// One in requestsPerAllZones requests asks for the ages of all zones even if
	// the confirmation is not overdue, so that the node learns of new zones.
	requestsPerAllZones = 16
	// neverAge is the age in a ZoneAge of an event that has never happened.
	neverAge = -1 * time.Microsecond
)

// AnswerExchange queues pulls of the documents of which the peer's digest d lists
// a newer revision than this node holds. It returns the digest of this node.
func (s *Spread) AnswerExchange(now time.Time, d Digest) Digest {
	s.mu.Lock()
	answer := Digest{
		From:    s.options.Members.Self().PeerAddress,
		Summary: s.documents.summary,
		Zones:   s.zoneAges(now, d.AllZones),
	}
	if answer.Summary != d.Summary {
		answer.Heads = s.documents.heads()
	}
	missing := s.documents.missingHeads(d.Heads)
	s.mu.Unlock()
	s.queuePulls(missing, d.From)
	return answer
}

// exchange sends a digest with newHeads to a peer and merges its answer. If
// newHeads is empty and this node holds newer documents than the peer, a second
// digest announces them.
func (s *Spread) exchange(ctx context.Context, address string, newHeads []Head) {
	answer, ok := s.sendDigest(ctx, address, newHeads)
	if !ok {
		return
	}
	if newer := s.mergeAnswer(address, answer); len(newer) > 0 && len(newHeads) == 0 {
		_, _ = s.sendDigest(ctx, address, newer)
	}
}

// exchangeAnswer is the digest that a peer returned, with the time at which this
// node sent its request.
type exchangeAnswer struct {
	digest        Digest
	requestSentAt time.Time
}

// sendDigest sends a digest with newHeads to a peer and returns its answer. It
// reports false if the peer did not answer.
func (s *Spread) sendDigest(ctx context.Context, address string, newHeads []Head) (exchangeAnswer, bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	requestSentAt := s.options.Clock.Now()
	request := s.newRequest(requestSentAt, newHeads)
	answer, err := s.options.Peer.Exchange(ctx, address, request)
	if err != nil {
		s.counters.exchangesFailed.Inc()
		return exchangeAnswer{}, false
	}
	s.counters.exchangesAnswered.Inc()
	return exchangeAnswer{digest: answer, requestSentAt: requestSentAt}, true
}

// newRequest returns the digest to send to a peer.
func (s *Spread) newRequest(now time.Time, newHeads []Head) Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestsSent++
	return Digest{
		From:     s.options.Members.Self().PeerAddress,
		Summary:  s.documents.summary,
		Heads:    newHeads,
		AllZones: s.requestsSent%requestsPerAllZones == 0 || s.confirmationOverdue(now),
	}
}

// confirmationOverdue reports whether the view has not been confirmed against the
// store for confirmationOverdueAfter. The caller holds mu.
func (s *Spread) confirmationOverdue(now time.Time) bool {
	confirmedAt := s.zones.ConfirmedAt()
	return confirmedAt.IsZero() || fresh.Age(now, confirmedAt) >= confirmationOverdueAfter
}

// mergeAnswer queues pulls of the documents that are newer at the peer, merges
// its zone ages and returns the heads that are newer at this node. The ages apply
// to this node only if it holds every document that the peer holds. That is also
// the case if the answer has no heads: the peer then held the same revisions that
// this node had held when it sent the request, and revisions never decrease.
func (s *Spread) mergeAnswer(address string, a exchangeAnswer) []Head {
	s.mu.Lock()
	missing := s.documents.missingHeads(a.digest.Heads)
	s.mergeZones(a, len(missing) == 0)
	var newer []Head
	if len(a.digest.Heads) > 0 || a.digest.Summary == 0 {
		newer = s.documents.newerHeads(a.digest.Heads)
	}
	s.mu.Unlock()
	s.queuePulls(missing, address)
	return newer
}

// mergeZones merges the zone ages of an answer. It subtracts them from the time at
// which the request was sent. The peer computed the ages after that time, so no
// resulting time is later than the actual one. Unless hasAllDocuments is set,
// mergeZones only registers the zones.
func (s *Spread) mergeZones(a exchangeAnswer, hasAllDocuments bool) {
	for _, z := range a.digest.Zones {
		if z.TriedAge > zoneRetention {
			continue
		}
		s.zones.AddZone(z.Zone)
		if hasAllDocuments {
			s.zones.Merge(fresh.Report{
				Zone:      z.Zone,
				TriedAt:   subtractAge(a.requestSentAt, z.TriedAge),
				ReachedAt: subtractAge(a.requestSentAt, z.ReachedAge),
			})
		}
	}
}

// subtractAge returns at minus age, or the zero time if age means never.
func subtractAge(at time.Time, age time.Duration) time.Time {
	if age < 0 {
		return time.Time{}
	}
	return at.Add(-age)
}

// zoneAges returns the ages of all zones if allZones is set. Otherwise it returns
// only those of the zone whose readers reached the store last. The caller holds mu.
func (s *Spread) zoneAges(now time.Time, allZones bool) []ZoneAge {
	s.zones.Expire(now.Add(-zoneRetention), s.options.Members.Self().Zone)
	reports := s.zones.Reports()
	if !allZones {
		reports = []fresh.Report{slices.MaxFunc(reports, func(a, b fresh.Report) int {
			return a.ReachedAt.Compare(b.ReachedAt)
		})}
	}
	ages := make([]ZoneAge, len(reports))
	for i, r := range reports {
		ages[i] = ZoneAge{Zone: r.Zone, TriedAge: ageSince(now, r.TriedAt), ReachedAge: ageSince(now, r.ReachedAt)}
	}
	return ages
}

// ageSince returns the time from t to now, or neverAge if t is the zero time.
func ageSince(now, t time.Time) time.Duration {
	if t.IsZero() {
		return neverAge
	}
	return max(0, fresh.Age(now, t))
}
