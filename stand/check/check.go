// Package check verifies the logs of a trial: it compares the answers that the
// callers logged with the runs that the targets logged.
package check

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/greengagewind/greengagewind/stand/command"
	"github.com/greengagewind/greengagewind/stand/table"
)

// Options are the inputs of stand check.
type Options struct {
	Files
	// Out lists the out-of-service periods of targets, each as TARGET=FROM..TO
	// in Unix microseconds.
	Out []string
	// OutGrace is the value for Input.OutOfServiceGrace.
	OutGrace time.Duration
	// ColdGrace is the value for Input.ColdGrace.
	ColdGrace time.Duration
	// Calm is the value for Input.ExpectNoFailures.
	Calm bool

	Streams command.Streams
}

// New declares the subcommand "stand check" on app and returns its name and
// the function that runs it.
func New(app *kingpin.Application, streams command.Streams) (string, command.Run) {
	const name = "check"
	opts := &Options{Streams: streams}
	c := app.Command(name, "check the logs of a trial for violations of the invariants")
	c.Flag("run-logs", "directory of the targets' run logs").Required().StringVar(&opts.RunLogs)
	c.Flag("load-log", "log that the callers wrote").Required().StringVar(&opts.LoadLog)
	c.Flag("config", "configuration file in force; repeat the flag for each generation").Required().StringsVar(&opts.Configs)
	c.Flag("keys", "file with a workspace and its key on each line").StringVar(&opts.Keys)
	c.Flag("out", "period in which a target is out of service, as TARGET=FROM..TO in Unix microseconds; repeatable").StringsVar(&opts.Out)
	c.Flag("out-grace", "how long after FROM a target may still start new runs").Default("3s").DurationVar(&opts.OutGrace)
	c.Flag("cold-grace", "how long a target that turned cold unannounced may exceed its cold concurrency limit").Default("2s").DurationVar(&opts.ColdGrace)
	c.Flag("calm", "also check that no request failed, for a trial without overload and faults").BoolVar(&opts.Calm)
	return name, func(context.Context) error { return Run(opts) }
}

// Run reads the logs and prints a verdict for each check. If an input cannot be
// read, it returns a command.UsageError. If a check found a violation, it returns
// the error of Verdict.
func Run(opts *Options) error {
	in, err := Read(opts.Files)
	if err != nil {
		return &command.UsageError{Err: err}
	}
	in.OutOfServiceGrace, in.ColdGrace, in.ExpectNoFailures = opts.OutGrace, opts.ColdGrace, opts.Calm
	for _, periodText := range opts.Out {
		period, err := parseOutOfServicePeriod(periodText)
		if err != nil {
			return &command.UsageError{Err: err}
		}
		in.OutOfServicePeriods = append(in.OutOfServicePeriods, period)
	}
	findings := All(in)
	if err := Print(opts.Streams, findings); err != nil {
		return err
	}
	return Verdict(findings)
}

// Verdict returns an error with the number of failed checks when at least one
// check found a violation, and nil otherwise.
func Verdict(findings []Finding) error {
	failedChecks := 0
	for _, finding := range findings {
		if finding.Violations > 0 {
			failedChecks++
		}
	}
	if failedChecks > 0 {
		return fmt.Errorf("%d of %d checks found violations", failedChecks, len(findings))
	}
	return nil
}

// Print writes a table to streams.Out. It has one row for each finding, which
// contains the first violation, if any, as an example.
func Print(streams command.Streams, findings []Finding) error {
	var rows [][]string
	for _, finding := range findings {
		verdict, firstExample := "holds", "-"
		if finding.Violations > 0 {
			verdict, firstExample = "BROKEN", finding.Examples[0]
		}
		rows = append(rows, []string{
			finding.Check, verdict, strconv.Itoa(finding.Checked), strconv.Itoa(finding.Violations), firstExample,
		})
	}
	return table.Write(streams.Out, []string{"CHECK", "VERDICT", "CHECKED", "VIOLATIONS", "FIRST"}, rows)
}
