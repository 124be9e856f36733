package check

import (
	"fmt"
	"strings"
	"time"

	"github.com/greengagewind/greengagewind/stand/limits"
	"github.com/greengagewind/greengagewind/stand/load"
	"github.com/greengagewind/greengagewind/stand/record"
)

// ProbePrefix is the prefix of the IDs of readiness probes. These are requests that
// are sent until the fleet is ready. The callers' log does not contain them.
const ProbePrefix = "probe-"

// Input holds the logs and limits that the checks examine.
type Input struct {
	Runs []record.Run
	Sent []record.Sent
	// Limits holds the rate limits by workspace.
	Limits map[string]limits.Limit
	// Keys holds the API keys by workspace.
	Keys                map[string]string
	OutOfServicePeriods []OutOfServicePeriod
	// OutOfServiceGrace is how long after the start of an OutOfServicePeriod
	// the target may still start new runs.
	OutOfServiceGrace time.Duration
	// ColdGrace is how long a target that turned cold unannounced may exceed
	// its cold concurrency limit.
	ColdGrace time.Duration
	// ExpectNoFailures adds the check NoFailures, for a trial that had neither
	// overload nor faults.
	ExpectNoFailures bool
}

// OutOfServicePeriod is a period in which a target is out of service.
type OutOfServicePeriod struct {
	Target string
	// FromMicros (inclusive) and ToMicros (exclusive) are Unix times in
	// microseconds.
	FromMicros int64
	ToMicros   int64
}

// Finding is the result of one check.
type Finding struct {
	// Check is the name of the check.
	Check string
	// Checked is how many runs or attempts the check examined.
	Checked    int
	Violations int
	// Examples describes the first violations, up to maxExamples.
	Examples []string
}

const maxExamples = 5

func (f *Finding) addViolation(format string, args ...any) {
	f.Violations++
	if len(f.Examples) < maxExamples {
		f.Examples = append(f.Examples, fmt.Sprintf(format, args...))
	}
}

// All runs every check and returns the findings. It runs NoFailures only if
// in.ExpectNoFailures is true.
func All(in Input) []Finding {
	findings := []Finding{
		Once(in), NotRun(in), Owner(in), Keys(in), Rate(in), Cold(in), OutOfService(in), Answers(in),
	}
	if in.ExpectNoFailures {
		findings = append(findings, NoFailures(in))
	}
	return findings
}

// Files holds the paths of the logs and settings of a trial.
type Files struct {
	// RunLogs is the directory of the targets' run logs.
	RunLogs string
	// LoadLog is the log that the callers wrote.
	LoadLog string
	// Keys is the file of API keys by workspace, or "" for none.
	Keys string
	// Configs are the configuration files that were in force during the trial.
	Configs []string
}

// Read reads the logs, the keys and the configuration files. The rate and the burst
// of each workspace are the highest that any of the configuration files sets.
func Read(paths Files) (in Input, err error) {
	if in.Runs, err = record.ReadRuns(paths.RunLogs); err != nil {
		return in, err
	}
	if in.Sent, err = record.ReadSent(paths.LoadLog); err != nil {
		return in, err
	}
	if in.Keys, err = load.ReadKeys(paths.Keys); err != nil {
		return in, err
	}
	in.Limits = make(map[string]limits.Limit)
	for _, path := range paths.Configs {
		generation, err := limits.Read(path)
		if err != nil {
			return in, err
		}
		in.Limits = limits.Highest(in.Limits, generation)
	}
	return in, nil
}

func parseOutOfServicePeriod(text string) (OutOfServicePeriod, error) {
	target, span, _ := strings.Cut(text, "=")
	period := OutOfServicePeriod{Target: target}
	if _, err := fmt.Sscanf(span, "%d..%d", &period.FromMicros, &period.ToMicros); err != nil {
		return period, fmt.Errorf("--out %q: expected TARGET=FROM..TO with Unix times in microseconds", text)
	}
	return period, nil
}

// topLevelRuns returns the runs of requests that callers sent to the fleet. It
// leaves out the runs of nested calls and of requests sent directly to a target.
func topLevelRuns(in Input) []record.Run {
	methodAndPath := make(map[string]string)
	for _, attempt := range in.Sent {
		if !attempt.Direct {
			methodAndPath[attempt.ID] = attempt.Method + attempt.Path
		}
	}
	var runs []record.Run
	for _, run := range in.Runs {
		if sent, isKnown := methodAndPath[run.ID]; isKnown && sent == run.Method+run.Path {
			runs = append(runs, run)
		}
	}
	return runs
}
