package proof

import (
	"context"
	"fmt"
	"time"

	"github.com/greengagewind/greengagewind/stand/check"
	"github.com/greengagewind/greengagewind/stand/fleet"
)

const racePause = 500 * time.Millisecond

// race is a pair of operators who apply over the same generation at once while
// something fails.
type race struct {
	name  string
	fault func(ctx context.Context, b *Bench) error
}

// races are what goes wrong in turn.
func races() []race {
	return []race{
		{"nothing fails", nil},
		{"answers are lost", loseAnswers},
		{"the store is down", storeDown},
		{"a node is frozen", func(ctx context.Context, b *Bench) error {
			return freezeNode(ctx, b.Fleet.VMs[0])
		}},
		{"a node is restarted", func(ctx context.Context, b *Bench) error {
			m := b.Fleet.VMs[1]
			if err := m.Node.Stop(stopTimeout); err != nil {
				return err
			}
			return b.Fleet.StartNode(m)
		}},
		{"a node is killed", func(ctx context.Context, b *Bench) error {
			return b.killNode(ctx, b.Fleet.VMs[2])
		}},
		{"answers are lost again", loseAnswers},
	}
}

func loseAnswers(ctx context.Context, b *Bench) error {
	if err := b.Fleet.SetStoreFault(ctx, fleet.StoreFault{Mode: "LoseAnswers", Share: 0.5}); err != nil {
		return err
	}
	sleep(ctx, 3*time.Second)
	return b.Fleet.SetStoreFault(ctx, fleet.StoreFault{Mode: "None"})
}

func storeDown(ctx context.Context, b *Bench) error {
	if err := b.Fleet.SetStoreFault(ctx, fleet.StoreFault{Mode: "Down"}); err != nil {
		return err
	}
	sleep(ctx, 3*time.Second)
	return b.Fleet.SetStoreFault(ctx, fleet.StoreFault{Mode: "None"})
}

// configNeverReverts has two operators race while answers are lost, the store
// is down, and nodes are frozen, restarted and killed.
func configNeverReverts() Scenario {
	finding := check.Finding{Check: "ExactlyOneWinner"}
	var polled check.Finding
	var slowest time.Duration
	slowRace := ""
	return Scenario{
		Point: "ConfigNeverReverts",
		Run: func(ctx context.Context, b *Bench) error {
			p := poll(ctx, b.Fleet.VMs)
			defer func() { polled = p.finish() }()
			for number, r := range races() {
				accepted, generation, err := r.run(ctx, b, number, &finding)
				if err != nil {
					return fmt.Errorf("while %s: %w", r.name, err)
				}
				took, all := p.await(ctx, len(b.Fleet.VMs), generation, accepted, promptly)
				if !all {
					finding.Violations++
					finding.Examples = append(finding.Examples,
						fmt.Sprintf("while %s: generation %d was not everywhere after %s", r.name, generation, took))
				}
				if took > slowest {
					slowest, slowRace = took, r.name
				}
				sleep(ctx, racePause)
			}
			return nil
		},
		Judge: func(check.Input) Result {
			result := judge(finding, polled)
			result.Figure = fmt.Sprintf("%d races with one winner each; in force everywhere after at most %s (%s); %d words of nodes, none back",
				finding.Checked, slowest.Round(time.Millisecond), slowRace, polled.Checked)
			return result
		},
	}
}

// run lets two operators apply at once and returns when one had won, and its
// generation.
func (r race) run(ctx context.Context, b *Bench, number int, finding *check.Finding) (time.Time, int64, error) {
	faulted := make(chan error, 1)
	if r.fault == nil {
		faulted <- nil
	} else {
		go func() { faulted <- r.fault(ctx, b) }()
		sleep(ctx, racePause)
	}
	ends := make(chan operator, 2)
	base := b.Fleet.Generation()
	for rival := range 2 {
		b.Config.Set("Workspace", "archivo", "Rate", 40+2*number+rival)
		file, err := b.Config.Write()
		if err != nil {
			return time.Time{}, 0, err
		}
		go func() {
			result, err := b.Fleet.ApplyWithBase(ctx, file, base, "--timeout", "15s")
			ends <- operator{result, err, time.Now()}
		}()
	}
	one, other := <-ends, <-ends
	if err := <-faulted; err != nil {
		return time.Time{}, 0, err
	}
	return settle(b, r.name, one, other, finding)
}

// operator is how an apply ended.
type operator struct {
	result fleet.ApplyResult
	err    error
	at     time.Time
}

func settle(b *Bench, name string, one, other operator, finding *check.Finding) (time.Time, int64, error) {
	finding.Checked++
	winners := 0
	var winner operator
	for _, o := range []operator{one, other} {
		if o.err != nil {
			return time.Time{}, 0, o.err
		}
		if o.result.Outcome == "Applied" {
			winner = o
			winners++
		}
	}
	if winners != 1 {
		finding.Violations++
		finding.Examples = append(finding.Examples, fmt.Sprintf("while %s: %d winners, outcomes %s and %s",
			name, winners, one.result.Outcome, other.result.Outcome))
	}
	if winners == 0 {
		return time.Time{}, 0, fmt.Errorf("nobody won: %s and %s", one.result.Outcome, other.result.Outcome)
	}
	b.Fleet.SetGeneration(winner.result.Generation)
	return winner.at, winner.result.Generation, nil
}

func goneBack(before, after sighting) string {
	return fmt.Sprintf("%s went from generation %d to %d (process of %d, then of %d)",
		after.vm, before.generation, after.generation, before.startedAt, after.startedAt)
}
