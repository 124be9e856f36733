package spread

import (
	"context"
	"slices"
	"time"

	"github.com/greengagewind/greengagewind/gage/state/fresh"
)

const (
	// exchangeTimeout bounds one exchange, so that a frozen neighbor costs
	// little more than one turn.
	exchangeTimeout = 400 * time.Millisecond
	// zoneMemory is how long a silent zone is counted.
	zoneMemory = 24 * time.Hour
	// overdueAfter is the age of the view at which a node asks after every
	// zone, and at which nodes that are not readers begin to read.
	overdueAfter = 4 * time.Second
	// allZonesEvery is how many requests a node sends for each that asks after
	// every zone in any case, so that it hears of new zones.
	allZonesEvery = 16
	// never stands for an age in messages.
	never = -1 * time.Microsecond
)

// AnswerExchange takes in a peer's digest and returns this node's.
func (s *Spread) AnswerExchange(now time.Time, d Digest) Digest {
	s.mu.Lock()
	answer := Digest{
		From:    s.options.Members.Self().PeerAddress,
		Summary: s.docs.summary,
		Zones:   s.zoneAges(now, d.AllZones),
	}
	if answer.Summary != d.Summary {
		answer.Heads = s.docs.heads()
	}
	missing := s.docs.lacking(d.Heads)
	s.mu.Unlock()
	s.wantAll(missing, d.From)
	return answer
}

// exchange sends a digest with news to a peer and takes in its answer.
func (s *Spread) exchange(ctx context.Context, address string, news []Head) {
	answer, ok := s.ask(ctx, address, news)
	if !ok {
		return
	}
	if ahead := s.learn(address, answer); len(ahead) > 0 && len(news) == 0 {
		_, _ = s.ask(ctx, address, ahead)
	}
}

// asked is an answer with the time at which its request was sent.
type asked struct {
	digest Digest
	sentAt time.Time
}

func (s *Spread) ask(ctx context.Context, address string, news []Head) (asked, bool) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sentAt := s.options.Clock.Now()
	request := s.request(sentAt, news)
	answer, err := s.options.Peer.Exchange(ctx, address, request)
	if err != nil {
		s.counts.exchangeFailed.Inc()
		return asked{}, false
	}
	s.counts.exchanged.Inc()
	return asked{digest: answer, sentAt: sentAt}, true
}

func (s *Spread) request(now time.Time, news []Head) Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	return Digest{
		From:     s.options.Members.Self().PeerAddress,
		Summary:  s.docs.summary,
		Heads:    news,
		AllZones: s.asked%allZonesEvery == 0 || s.overdue(now),
	}
}

// overdue tells whether word of the store is late. The caller holds mu.
func (s *Spread) overdue(now time.Time) bool {
	confirmedAt := s.zones.ConfirmedAt()
	return confirmedAt.IsZero() || fresh.Age(now, confirmedAt) >= overdueAfter
}

// learn takes in an answer and returns the heads that the peer lacks. What
// the peer says about readings of the store holds for this node too only when
// it knows every document that the peer knows. Heads are missing from the
// answer when the peer's view equals the one in the request, and since then
// this node's view has only grown.
func (s *Spread) learn(address string, a asked) []Head {
	s.mu.Lock()
	missing := s.docs.lacking(a.digest.Heads)
	s.learnZones(a, len(missing) == 0)
	var ahead []Head
	if len(a.digest.Heads) > 0 || a.digest.Summary == 0 {
		ahead = s.docs.ahead(a.digest.Heads)
	}
	s.mu.Unlock()
	s.wantAll(missing, address)
	return ahead
}

// learnZones reckons the ages from the time at which the request was sent,
// which is no later than the moment that the peer reckoned them from.
func (s *Spread) learnZones(a asked, holds bool) {
	for _, z := range a.digest.Zones {
		if z.TriedAge > zoneMemory {
			continue
		}
		s.zones.AddZone(z.Zone)
		if holds {
			s.zones.Merge(fresh.Report{
				Zone:      z.Zone,
				TriedAt:   before(a.sentAt, z.TriedAge),
				ReachedAt: before(a.sentAt, z.ReachedAge),
			})
		}
	}
}

func before(at time.Time, age time.Duration) time.Time {
	if age < 0 {
		return time.Time{}
	}
	return at.Add(-age)
}

// zoneAges returns the ages of all zones or of the one whose readers reached
// the store last. The caller holds mu.
func (s *Spread) zoneAges(now time.Time, all bool) []ZoneAge {
	s.zones.Expire(now.Add(-zoneMemory), s.options.Members.Self().Zone)
	reports := s.zones.Reports()
	if !all {
		reports = []fresh.Report{slices.MaxFunc(reports, func(a, b fresh.Report) int {
			return a.ReachedAt.Compare(b.ReachedAt)
		})}
	}
	ages := make([]ZoneAge, len(reports))
	for i, r := range reports {
		ages[i] = ZoneAge{Zone: r.Zone, TriedAge: age(now, r.TriedAt), ReachedAge: age(now, r.ReachedAt)}
	}
	return ages
}

func age(now, t time.Time) time.Duration {
	if t.IsZero() {
		return never
	}
	return max(0, fresh.Age(now, t))
}
