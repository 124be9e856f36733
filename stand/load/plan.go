package load

import (
	"fmt"
	"time"

	"github.com/greengagewind/greengagewind/stand/files"
	"github.com/greengagewind/greengagewind/stand/score"
)

// Duration is a time.Duration that is written as text in a plan file.
type Duration = files.Duration

// Plan describes the callers of one trial.
type Plan struct {
	Deployment string
	// Timeout is how long a caller waits for a request, including its retries.
	Timeout Duration
	// MaxInFlight bounds the requests in flight over all workspaces.
	MaxInFlight int
	// DirectService is the service whose targets receive the direct requests.
	DirectService string
	// Workspace entries have distinct names.
	Workspace []Workspace
	// Phase entries are consecutive.
	Phase []Phase
}

// Workspace describes the callers of one workspace.
type Workspace struct {
	Name string
	// Rate is the mean number of arrivals per second at factor 1.
	Rate float64
	// Request is the request mix, with at least one entry.
	Request []Request
}

// Request is one entry of a request mix.
type Request struct {
	Name   string
	Method string
	Path   string
	// Weight is proportional to the probability of the entry. It is above 0.
	Weight     float64
	Idempotent bool
	// Open requests are sent without a key.
	Open bool
	// Direct means that every second of these requests is sent to a target
	// instead of a node. It has no effect if Options.Direct is empty.
	Direct bool
	// Copies is the number of additional copies of the request. They have the same
	// ID and are sent at the same time, each through the next of Options.Entries.
	Copies int
}

// Phase is a period of the trial with its own arrival rates.
type Phase struct {
	Name     string
	Role     score.Role
	Duration Duration
	// Factor multiplies the rate of every workspace.
	Factor float64
	// Factors maps the name of a workspace to a further factor of its rate.
	Factors map[string]float64
	// Retries is the minimum number of immediate retries of a failed request.
	// Options.Retries may set a higher minimum.
	Retries int
	// During the phase, SlowService is slowed down by SlowFactor, and the
	// availability zone ZoneOut is out of service. The program that runs the
	// fleet applies these; package load ignores them.
	SlowService string
	SlowFactor  float64
	ZoneOut     string
}

// Length returns the total duration of all phases.
func (p *Plan) Length() time.Duration {
	var length time.Duration
	for _, phase := range p.Phase {
		length += time.Duration(phase.Duration)
	}
	return length
}

// ReadPlan reads a plan file. It returns an error for unknown keys and for
// invalid values.
func ReadPlan(path string) (*Plan, error) {
	plan := &Plan{}
	if err := files.ReadTOML(path, plan); err != nil {
		return nil, fmt.Errorf("read plan: %w", err)
	}
	if err := plan.check(); err != nil {
		return nil, fmt.Errorf("plan %s: %w", path, err)
	}
	return plan, nil
}

func (p *Plan) check() error {
	if p.Timeout <= 0 || p.MaxInFlight < 1 {
		return fmt.Errorf("values of Timeout and MaxInFlight must be above 0")
	}
	if len(p.Workspace) == 0 || len(p.Phase) == 0 {
		return fmt.Errorf("a plan needs at least one Workspace and one Phase")
	}
	for _, workspace := range p.Workspace {
		if workspace.Rate <= 0 || len(workspace.Request) == 0 {
			return fmt.Errorf("Workspace %s: Rate must be above 0 and Request must not be empty", workspace.Name)
		}
		for _, request := range workspace.Request {
			if request.Weight <= 0 || request.Method == "" || request.Path == "" {
				return fmt.Errorf("Workspace %s Request %s: Weight must be above 0, and Method and Path must be set", workspace.Name, request.Name)
			}
		}
	}
	for _, phase := range p.Phase {
		if phase.Duration <= 0 || phase.Factor < 0 {
			return fmt.Errorf("Phase %s: Duration must be above 0 and Factor must not be negative", phase.Name)
		}
		if err := phase.Role.Check(); err != nil {
			return fmt.Errorf("Phase %s: %w", phase.Name, err)
		}
	}
	return nil
}
