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

// observation is the configuration generation that a node reported.
type observation struct {
	vm string
	// startedAt identifies the process among the successive processes of a VM.
	startedAt  int64
	generation int64
	at         time.Time
}

// poller requests the configuration generation of every node at intervals of
// pollInterval.
type poller struct {
	mu           sync.Mutex
	observations []observation
	stop         context.CancelFunc
	goroutines   sync.WaitGroup
}

func poll(ctx context.Context, vms []*fleet.RunningVM) *poller {
	ctx, stop := context.WithCancel(ctx)
	p := &poller{stop: stop}
	for _, m := range vms {
		p.goroutines.Go(func() {
			for ctx.Err() == nil {
				p.observe(ctx, m)
				sleep(ctx, pollInterval)
			}
		})
	}
	return p
}

func (p *poller) observe(ctx context.Context, m *fleet.RunningVM) {
	status, err := m.Status(ctx)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observations = append(p.observations, observation{
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

// await waits until the latest observations of the given number of nodes show
// the generation or a newer one. It returns how long after since the last of
// these nodes first reported it, and false if limit passed first.
func (p *poller) await(ctx context.Context, nodes int, generation int64, since time.Time, limit time.Duration) (time.Duration, bool) {
	for time.Since(since) < limit && ctx.Err() == nil {
		if took, complete := p.reachedBy(nodes, generation, since); complete {
			return took, true
		}
		sleep(ctx, pollInterval)
	}
	return limit, false
}

// reachedBy returns how long after since the last VM first reported the generation
// or a newer one, and whether the latest reports of exactly nodes VMs still do.
func (p *poller) reachedBy(nodes int, generation int64, since time.Time) (took time.Duration, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := make(map[string]time.Time)
	newest := make(map[string]int64)
	for _, o := range p.observations {
		if o.at.Before(since) {
			continue
		}
		newest[o.vm] = o.generation
		if _, seen := first[o.vm]; !seen && o.generation >= generation {
			first[o.vm] = o.at
		}
	}
	count := 0
	for vm, at := range first {
		if newest[vm] >= generation {
			count++
		}
		took = max(took, at.Sub(since))
	}
	return took, count == nodes
}

// finish stops the poller and checks that the generation of no VM decreased.
// A new process of a VM may report 0 until it has loaded a configuration.
func (p *poller) finish() check.Finding {
	p.stop()
	p.goroutines.Wait()
	finding := check.Finding{Check: "GenerationsNeverGoDown"}
	newest := make(map[string]observation)
	for _, o := range p.observations {
		finding.Checked++
		before := newest[o.vm]
		isStarting := o.generation == 0 && o.startedAt != before.startedAt
		if o.generation < before.generation && !isStarting {
			finding.Violations++
			finding.Examples = append(finding.Examples, describeDecrease(before, o))
		}
		if !isStarting {
			newest[o.vm] = o
		}
	}
	return finding
}
