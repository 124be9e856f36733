package days

import (
	"errors"
	"fmt"
	"time"

	"github.com/greengagewind/greengagewind/gage/graph"
	"github.com/greengagewind/greengagewind/stand/files"
)

// scenarioFile is the TOML form of a scenario.
type scenarioFile struct {
	Length   files.Duration
	Seed     uint64
	Services []graph.Service
	Kinds    []requestKind
	Troubles []disturbance
}

// requestKind is the TOML form of a graph.RequestKind.
type requestKind struct {
	Name    string
	Service string
	Rank    int
	Nested  bool
	// Work is the mean service time at speed 1, without nested calls.
	Work      files.Duration
	Objective files.Duration
	Deadline  files.Duration
	// PerSecond is the arrival rate, in requests per second.
	PerSecond float64
	// Returns is how often a caller retries a refused request.
	Returns int
	// Calls names the kinds of the nested calls.
	Calls []string
}

// disturbance is the TOML form of a graph.Disturbance.
type disturbance struct {
	// At is the start, counted from the start of the scenario; For is the
	// duration.
	At, For files.Duration
	Service string
	// Lose is the number of targets lost.
	Lose int
	// Slow multiplies the service times, Burst the arrival rates; 0 leaves them
	// unchanged.
	Slow, Burst float64
}

// Read reads a scenario from a TOML file and validates it. The error lists every
// invalid value.
func Read(path string) (graph.Scenario, error) {
	var f scenarioFile
	if err := files.ReadTOML(path, &f); err != nil {
		return graph.Scenario{}, err
	}
	scenario := graph.Scenario{Length: time.Duration(f.Length), Seed: f.Seed, Services: f.Services}
	for _, k := range f.Kinds {
		scenario.Kinds = append(scenario.Kinds, graph.RequestKind{
			Name: k.Name, Service: k.Service, Rank: k.Rank, Nested: k.Nested, ServiceTime: time.Duration(k.Work),
			Objective: time.Duration(k.Objective), Deadline: time.Duration(k.Deadline), ArrivalRate: k.PerSecond, MaxRetries: k.Returns, Calls: k.Calls,
		})
	}
	for _, t := range f.Troubles {
		scenario.Disturbances = append(scenario.Disturbances, graph.Disturbance{
			At: time.Duration(t.At), Duration: time.Duration(t.For), Service: t.Service, LostTargets: t.Lose, SlowFactor: t.Slow, ArrivalRateFactor: t.Burst,
		})
	}
	if err := validate(scenario); err != nil {
		return graph.Scenario{}, fmt.Errorf("%s: %w", path, err)
	}
	return scenario, nil
}

// maxRetries bounds how often a caller retries a refused request.
const maxRetries = 10

// maxLength bounds the simulated time of a scenario, because the results of each
// second are held in memory.
const maxLength = time.Hour

func validate(scenario graph.Scenario) error {
	var errs []error
	addError := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if scenario.Length < time.Second || scenario.Length > maxLength {
		addError("Length is %s, allowed are 1s to %s", scenario.Length, maxLength)
	}
	services := make(map[string]bool)
	for _, s := range scenario.Services {
		if s.Name == "" || services[s.Name] {
			addError("the name of service %q is missing or given twice", s.Name)
		}
		services[s.Name] = true
		if s.Slots < 1 || len(s.Speeds) == 0 {
			addError("service %q needs Slots of 1 or more and one entry in Speeds for each target", s.Name)
		}
		for _, speed := range s.Speeds {
			if speed <= 0 {
				addError("service %q: a speed is %g, it must be above 0", s.Name, speed)
			}
		}
	}
	errs = append(errs, validateKinds(scenario.Kinds, services)...)
	for i, t := range scenario.Disturbances {
		if t.Service != "" && !services[t.Service] {
			addError("trouble %d: there is no service %q", i+1, t.Service)
		}
		if t.At < 0 || t.Duration <= 0 || t.LostTargets < 0 || t.SlowFactor < 0 || t.ArrivalRateFactor < 0 {
			addError("trouble %d: At, Lose, Slow and Burst must be 0 or more, and For above 0", i+1)
		}
		if t.Service == "" && (t.LostTargets > 0 || t.SlowFactor > 0) {
			addError("trouble %d: Lose and Slow need a Service", i+1)
		}
	}
	return errors.Join(errs...)
}

func validateKinds(kinds []graph.RequestKind, services map[string]bool) []error {
	var errs []error
	kindsByName := make(map[string]graph.RequestKind)
	for _, k := range kinds {
		kindsByName[k.Name] = k
	}
	if len(kindsByName) < len(kinds) || len(kinds) == 0 {
		errs = append(errs, errors.New("there must be at least one kind, and the names of kinds must differ"))
	}
	for _, k := range kinds {
		if !services[k.Service] {
			errs = append(errs, fmt.Errorf("kind %q: there is no service %q", k.Name, k.Service))
		}
		if k.MaxRetries < 0 || k.MaxRetries > maxRetries {
			errs = append(errs, fmt.Errorf("kind %q: Returns is %d, allowed are 0 to %d", k.Name, k.MaxRetries, maxRetries))
		}
		if k.ServiceTime <= 0 || k.Deadline <= 0 || k.ArrivalRate < 0 || (!k.Nested && (k.Objective <= 0 || k.ArrivalRate == 0)) {
			errs = append(errs, fmt.Errorf("kind %q: Work and Deadline must be above 0, and Objective and PerSecond too unless it is Nested", k.Name))
		}
		for _, call := range k.Calls {
			if !kindsByName[call].Nested {
				errs = append(errs, fmt.Errorf("kind %q calls %q, which is not a nested kind", k.Name, call))
			}
		}
		if callsDeeperThan(kindsByName, k.Name, len(kinds)) {
			errs = append(errs, fmt.Errorf("the nested calls of kind %q contain a cycle", k.Name))
		}
	}
	return errs
}

// callsDeeperThan reports whether a chain of nested calls from the kind name is
// longer than maxDepth. If maxDepth is the number of kinds, such a chain has a
// cycle.
func callsDeeperThan(kindsByName map[string]graph.RequestKind, name string, maxDepth int) bool {
	if maxDepth < 0 {
		return true
	}
	for _, call := range kindsByName[name].Calls {
		if callsDeeperThan(kindsByName, call, maxDepth-1) {
			return true
		}
	}
	return false
}
