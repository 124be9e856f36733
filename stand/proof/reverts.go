package proof

import (
	"context"
	"fmt"
	"time"

	"github.com/greengagewind/greengagewind/stand/check"
	"github.com/greengagewind/greengagewind/stand/fleet"
)

const racePause = 500 * time.Millisecond

// race is two concurrent applies over the same base generation, by two
// operators, during a fault.
type race struct {
	// name describes the fault in a clause, such as "the store is down".
	name  string
	fault func(ctx context.Context, h *Harness) error
}

// races returns the races in the order in which they run.
func races() []race {
	return []race{
		{"nothing fails", nil},
		{"answers are lost", loseAnswers},
		{"the store is down", storeDown},
		{"a node is frozen", func(ctx context.Context, h *Harness) error {
			return freezeNode(ctx, h.Fleet.VMs[0])
		}},
		{"a node is restarted", func(ctx context.Context, h *Harness) error {
			m := h.Fleet.VMs[1]
			if err := m.Node.Stop(stopTimeout); err != nil {
				return err
			}
			return h.Fleet.StartNode(m)
		}},
		{"a node is killed", func(ctx context.Context, h *Harness) error {
			return h.killNode(ctx, h.Fleet.VMs[2])
		}},
		{"answers are lost again", loseAnswers},
	}
}

func loseAnswers(ctx context.Context, h *Harness) error {
	if err := h.Fleet.SetStoreFault(ctx, fleet.StoreFault{Mode: "LoseAnswers", Share: 0.5}); err != nil {
		return err
	}
	sleep(ctx, 3*time.Second)
	return h.Fleet.SetStoreFault(ctx, fleet.StoreFault{Mode: "None"})
}

func storeDown(ctx context.Context, h *Harness) error {
	if err := h.Fleet.SetStoreFault(ctx, fleet.StoreFault{Mode: "Down"}); err != nil {
		return err
	}
	sleep(ctx, 3*time.Second)
	return h.Fleet.SetStoreFault(ctx, fleet.StoreFault{Mode: "None"})
}

// configNeverReverts races two applies against each other while answers of the
// store are lost, the store is down, and nodes are frozen, restarted and killed.
// One apply must win each race, and no node may return to an older generation.
func configNeverReverts() Scenario {
	finding := check.Finding{Check: "ExactlyOneWinner"}
	var generationCheck check.Finding
	var slowest time.Duration
	slowestRace := ""
	return Scenario{
		Point: "ConfigNeverReverts",
		Run: func(ctx context.Context, h *Harness) error {
			p := poll(ctx, h.Fleet.VMs)
			defer func() { generationCheck = p.finish() }()
			for number, r := range races() {
				acceptedAt, generation, err := r.run(ctx, h, number, &finding)
				if err != nil {
					return fmt.Errorf("while %s: %w", r.name, err)
				}
				took, complete := p.await(ctx, len(h.Fleet.VMs), generation, acceptedAt, reactionLimit)
				if !complete {
					finding.Violations++
					finding.Examples = append(finding.Examples,
						fmt.Sprintf("while %s: generation %d was not in force on all nodes after %s", r.name, generation, took))
				}
				if took > slowest {
					slowest, slowestRace = took, r.name
				}
				sleep(ctx, racePause)
			}
			return nil
		},
		Judge: func(check.Input) Result {
			result := judge(finding, generationCheck)
			result.Figure = fmt.Sprintf("%d races with one winner each; in force on all nodes after at most %s (%s); %d status answers, none with an older generation",
				finding.Checked, slowest.Round(time.Millisecond), slowestRace, generationCheck.Checked)
			return result
		},
	}
}

// run applies two configurations concurrently and returns when the winning apply
// ended and the generation that it created.
func (r race) run(ctx context.Context, h *Harness, number int, finding *check.Finding) (time.Time, int64, error) {
	faultDone := make(chan error, 1)
	if r.fault == nil {
		faultDone <- nil
	} else {
		go func() { faultDone <- r.fault(ctx, h) }()
		sleep(ctx, racePause)
	}
	results := make(chan applyResult, 2)
	base := h.Fleet.Generation()
	for applier := range 2 {
		h.Config.Set("Workspace", "archivo", "Rate", 40+2*number+applier)
		file, err := h.Config.Write()
		if err != nil {
			return time.Time{}, 0, err
		}
		go func() {
			result, err := h.Fleet.ApplyWithBase(ctx, file, base, "--timeout", "15s")
			results <- applyResult{result, err, time.Now()}
		}()
	}
	first, second := <-results, <-results
	if err := <-faultDone; err != nil {
		return time.Time{}, 0, err
	}
	return findWinner(h, r.name, first, second, finding)
}

// applyResult is the result of one apply.
type applyResult struct {
	result fleet.ApplyResult
	err    error
	at     time.Time
}

// findWinner returns the end and the generation of the apply that won the race.
// It adds a violation to the finding unless there is exactly one winner.
func findWinner(h *Harness, name string, first, second applyResult, finding *check.Finding) (time.Time, int64, error) {
	finding.Checked++
	winners := 0
	var winner applyResult
	for _, apply := range []applyResult{first, second} {
		if apply.err != nil {
			return time.Time{}, 0, apply.err
		}
		if apply.result.Outcome == "Applied" {
			winner = apply
			winners++
		}
	}
	if winners != 1 {
		finding.Violations++
		finding.Examples = append(finding.Examples, fmt.Sprintf("while %s: %d winners, outcomes %s and %s",
			name, winners, first.result.Outcome, second.result.Outcome))
	}
	if winners == 0 {
		return time.Time{}, 0, fmt.Errorf("no apply won: outcomes %s and %s", first.result.Outcome, second.result.Outcome)
	}
	h.Fleet.SetGeneration(winner.result.Generation)
	return winner.at, winner.result.Generation, nil
}

func describeDecrease(before, after observation) string {
	return fmt.Sprintf("%s went from generation %d to %d (process started at %d, then %d)",
		after.vm, before.generation, after.generation, before.startedAt, after.startedAt)
}
