package proof

import (
	"context"
	"sync"
	"time"

	"github.com/greengagewind/greengagewind/gage/protocol/oper"
	"github.com/greengagewind/greengagewind/stand/check"
	"github.com/greengagewind/greengagewind/stand/fleet"
)

const pollInterval = 50 * time.Millisecond

// sighting is what one node said of its configuration.
type sighting struct {
	vm string
	// startedAt tells the processes of a VM apart.
	startedAt  int64
	generation int64
	at         time.Time
}

// poller asks every node for its generation again and again.
type poller struct {
	mu        sync.Mutex
	sightings []sighting
	stop      context.CancelFunc
	ended     sync.WaitGroup
}

func poll(ctx context.Context, machines []*fleet.RunningVM) *poller {
	ctx, stop := context.WithCancel(ctx)
	p := &poller{stop: stop}
	for _, m := range machines {
		p.ended.Go(func() {
			for ctx.Err() == nil {
				p.ask(ctx, m)
				sleep(ctx, pollInterval)
			}
		})
	}
	return p
}

func (p *poller) ask(ctx context.Context, m *fleet.RunningVM) {
	status, err := m.Status(ctx)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sightings = append(p.sightings, sighting{
		vm: m.Name, startedAt: startedAt(status), generation: status.Generation, at: time.Now(),
	})
}

func startedAt(status oper.Status) int64 {
	for _, member := range status.Members {
		if member.VM == status.VM {
			return member.StartedAt
		}
	}
	return 0
}

// await waits until the newest word of each of some nodes is a generation or a
// later one, and returns how long after a time the last one had it.
func (p *poller) await(ctx context.Context, nodes int, generation int64, since time.Time, limit time.Duration) (time.Duration, bool) {
	for time.Since(since) < limit && ctx.Err() == nil {
		if took, all := p.reached(nodes, generation, since); all {
			return took, true
		}
		sleep(ctx, pollInterval)
	}
	return limit, false
}

func (p *poller) reached(nodes int, generation int64, since time.Time) (took time.Duration, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := make(map[string]time.Time)
	newest := make(map[string]int64)
	for _, s := range p.sightings {
		if s.at.Before(since) {
			continue
		}
		newest[s.vm] = s.generation
		if _, known := first[s.vm]; !known && s.generation >= generation {
			first[s.vm] = s.at
		}
	}
	have := 0
	for vm, at := range first {
		if newest[vm] >= generation {
			have++
		}
		took = max(took, at.Sub(since))
	}
	return took, have == nodes
}

// finish ends the poller and checks that no node went back: neither a process,
// nor a VM's next process once it has a generation at all.
func (p *poller) finish() check.Finding {
	p.stop()
	p.ended.Wait()
	finding := check.Finding{Check: "GenerationsNeverGoDown"}
	newest := make(map[string]sighting)
	for _, s := range p.sightings {
		finding.Checked++
		before := newest[s.vm]
		starting := s.generation == 0 && s.startedAt != before.startedAt
		if s.generation < before.generation && !starting {
			finding.Violations++
			finding.Examples = append(finding.Examples, goneBack(before, s))
		}
		if !starting {
			newest[s.vm] = s
		}
	}
	return finding
}
