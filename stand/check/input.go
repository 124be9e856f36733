package check

import (
	"fmt"
	"strings"
	"time"

	"github.com/greengagewind/greengagewind/stand/limits"
	"github.com/greengagewind/greengagewind/stand/load"
	"github.com/greengagewind/greengagewind/stand/record"
)

// ProbePrefix starts the identities of requests that only wait for the fleet
// to be ready and stand in no callers' log.
const ProbePrefix = "probe-"

// Input is what the checks look at.
type Input struct {
	Runs   []record.Run
	Sent   []record.Sent
	Limits map[string]limits.Limit
	// Keys are the keys by workspace.
	Keys                map[string]string
	OutOfServicePeriods []OutOfServicePeriod
	// OutOfServiceGrace is how long after the start of an Out new work may still come.
	OutOfServiceGrace time.Duration
	// ColdGrace is how long a target that turned cold without a word may be
	// given more than it bears.
	ColdGrace time.Duration
	// ExpectNoFailures tells that the trial had neither overload nor faults.
	ExpectNoFailures bool
}

// OutOfServicePeriod is a time in which a target is out of service.
type OutOfServicePeriod struct {
	Target string
	// FromMicros and ToMicros are Unix times in microseconds.
	FromMicros int64
	ToMicros   int64
}

// Finding is the verdict of one check.
type Finding struct {
	Check string
	// Checked is how many things were looked at.
	Checked    int
	Violations int
	// Examples holds the first few violations.
	Examples []string
}

const maxExamples = 5

func (f *Finding) addViolation(format string, args ...any) {
	f.Violations++
	if len(f.Examples) < maxExamples {
		f.Examples = append(f.Examples, fmt.Sprintf(format, args...))
	}
}

// All runs every check.
func All(in Input) []Finding {
	findings := []Finding{
		Once(in), NotRun(in), Owner(in), Keys(in), Rate(in), Cold(in), OutOfService(in), Answers(in),
	}
	if in.ExpectNoFailures {
		findings = append(findings, NoFailures(in))
	}
	return findings
}

// Files name the logs and files of a trial.
type Files struct {
	// RunLogs is the directory of the targets' run logs.
	RunLogs string
	LoadLog string
	// Keys is the file of keys, or "".
	Keys string
	// Configs are the operators' files that were in force.
	Configs []string
}

// Read reads what the checks look at.
func Read(named Files) (in Input, err error) {
	if in.Runs, err = record.ReadRuns(named.RunLogs); err != nil {
		return in, err
	}
	if in.Sent, err = record.ReadSent(named.LoadLog); err != nil {
		return in, err
	}
	if in.Keys, err = load.ReadKeys(named.Keys); err != nil {
		return in, err
	}
	in.Limits = make(map[string]limits.Limit)
	for _, path := range named.Configs {
		generation, err := limits.Read(path)
		if err != nil {
			return in, err
		}
		in.Limits = limits.Highest(in.Limits, generation)
	}
	return in, nil
}

func parseOut(text string) (OutOfServicePeriod, error) {
	target, span, _ := strings.Cut(text, "=")
	out := OutOfServicePeriod{Target: target}
	if _, err := fmt.Sscanf(span, "%d..%d", &out.FromMicros, &out.ToMicros); err != nil {
		return out, fmt.Errorf("--out %q: write it as TARGET=FROM..TO", text)
	}
	return out, nil
}

// topLevel returns the runs of callers' own requests, without nested ones.
func topLevel(in Input) []record.Run {
	paths := make(map[string]string)
	for _, attempt := range in.Sent {
		if !attempt.Direct {
			paths[attempt.ID] = attempt.Method + attempt.Path
		}
	}
	var top []record.Run
	for _, run := range in.Runs {
		if path, known := paths[run.ID]; known && path == run.Method+run.Path {
			top = append(top, run)
		}
	}
	return top
}
