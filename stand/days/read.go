package days

import (
	"errors"
	"fmt"
	"time"

	"github.com/greengagewind/greengagewind/gage/graph"
	"github.com/greengagewind/greengagewind/stand/files"
)

// file is a day as it is written.
type file struct {
	Length   files.Duration
	Seed     uint64
	Services []graph.Service
	Kinds    []kind
	Troubles []trouble
}

type kind struct {
	Name      string
	Service   string
	Rank      int
	Nested    bool
	Work      files.Duration
	Objective files.Duration
	Deadline  files.Duration
	PerSecond float64
	Returns   int
	Calls     []string
}

type trouble struct {
	At, For     files.Duration
	Service     string
	Lose        int
	Slow, Burst float64
}

// Read reads and checks a day. The error names what is wrong.
func Read(path string) (graph.Scenario, error) {
	var f file
	if err := files.ReadTOML(path, &f); err != nil {
		return graph.Scenario{}, err
	}
	day := graph.Scenario{Length: time.Duration(f.Length), Seed: f.Seed, Services: f.Services}
	for _, k := range f.Kinds {
		day.Kinds = append(day.Kinds, graph.Kind{
			Name: k.Name, Service: k.Service, Rank: k.Rank, Nested: k.Nested, ServiceTime: time.Duration(k.Work),
			Objective: time.Duration(k.Objective), Deadline: time.Duration(k.Deadline), ArrivalRate: k.PerSecond, MaxRetries: k.Returns, Calls: k.Calls,
		})
	}
	for _, t := range f.Troubles {
		day.Disturbances = append(day.Disturbances, graph.Disturbance{
			At: time.Duration(t.At), Duration: time.Duration(t.For), Service: t.Service, LostTargets: t.Lose, SlowFactor: t.Slow, LoadFactor: t.Burst,
		})
	}
	if err := check(day); err != nil {
		return graph.Scenario{}, fmt.Errorf("%s: %w", path, err)
	}
	return day, nil
}

// maxReturns bounds how often a refused caller comes back.
const maxReturns = 10

// maxLength bounds a day: it is held in memory by the second.
const maxLength = time.Hour

func check(day graph.Scenario) error {
	var errs []error
	bad := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if day.Length < time.Second || day.Length > maxLength {
		bad("Length is %s, allowed are 1s to %s", day.Length, maxLength)
	}
	services := make(map[string]bool)
	for _, s := range day.Services {
		if s.Name == "" || services[s.Name] {
			bad("the name of service %q is missing or given twice", s.Name)
		}
		services[s.Name] = true
		if s.Slots < 1 || len(s.Speeds) == 0 {
			bad("service %q needs Slots of 1 or more and a Speed for each target", s.Name)
		}
		for _, speed := range s.Speeds {
			if speed <= 0 {
				bad("service %q: a speed is %g, it must be above 0", s.Name, speed)
			}
		}
	}
	errs = append(errs, checkKinds(day.Kinds, services)...)
	for i, t := range day.Disturbances {
		if t.Service != "" && !services[t.Service] {
			bad("trouble %d: there is no service %q", i+1, t.Service)
		}
		if t.At < 0 || t.Duration <= 0 || t.LostTargets < 0 || t.SlowFactor < 0 || t.LoadFactor < 0 {
			bad("trouble %d: At, Lose, Slow and Burst must be 0 or more, and For above 0", i+1)
		}
		if t.Service == "" && (t.LostTargets > 0 || t.SlowFactor > 0) {
			bad("trouble %d: Lose and Slow need a Service", i+1)
		}
	}
	return errors.Join(errs...)
}

func checkKinds(kinds []graph.Kind, services map[string]bool) []error {
	var errs []error
	byName := make(map[string]graph.Kind)
	for _, k := range kinds {
		byName[k.Name] = k
	}
	if len(byName) < len(kinds) || len(kinds) == 0 {
		errs = append(errs, errors.New("each kind needs a name of its own, and there must be one"))
	}
	for _, k := range kinds {
		if !services[k.Service] {
			errs = append(errs, fmt.Errorf("kind %q: there is no service %q", k.Name, k.Service))
		}
		if k.MaxRetries < 0 || k.MaxRetries > maxReturns {
			errs = append(errs, fmt.Errorf("kind %q: Returns is %d, allowed are 0 to %d", k.Name, k.MaxRetries, maxReturns))
		}
		if k.ServiceTime <= 0 || k.Deadline <= 0 || k.ArrivalRate < 0 || (!k.Nested && (k.Objective <= 0 || k.ArrivalRate == 0)) {
			errs = append(errs, fmt.Errorf("kind %q: Work and Deadline must be above 0, and Objective and PerSecond too unless it is Nested", k.Name))
		}
		for _, call := range k.Calls {
			if !byName[call].Nested {
				errs = append(errs, fmt.Errorf("kind %q calls %q, which is no nested kind", k.Name, call))
			}
		}
		if calls(byName, k.Name, len(kinds)) {
			errs = append(errs, fmt.Errorf("kind %q calls itself", k.Name))
		}
	}
	return errs
}

// calls reports whether a chain of calls from name is deeper than there are
// kinds, so that one must come twice.
func calls(byName map[string]graph.Kind, name string, deepest int) bool {
	if deepest < 0 {
		return true
	}
	for _, call := range byName[name].Calls {
		if calls(byName, call, deepest-1) {
			return true
		}
	}
	return false
}
