// Package check is the oracle over the logs of a trial: what the callers were
// told against what the targets ran.
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
	// Out entries are TARGET=FROM..TO in Unix microseconds.
	Out       []string
	OutGrace  time.Duration
	ColdGrace time.Duration
	Calm      bool

	Streams command.Streams
}

// New declares stand check.
func New(app *kingpin.Application, streams command.Streams) (string, command.Run) {
	const name = "check"
	opts := &Options{Streams: streams}
	c := app.Command(name, "check the logs of a trial against what must always hold")
	c.Flag("run-logs", "directory of the targets' run logs").Required().StringVar(&opts.RunLogs)
	c.Flag("load-log", "log of the callers").Required().StringVar(&opts.LoadLog)
	c.Flag("config", "operators' file in force; repeat it for each generation").Required().StringsVar(&opts.Configs)
	c.Flag("keys", "file with a workspace and its key on each line").StringVar(&opts.Keys)
	c.Flag("out", "time out of service, TARGET=FROM..TO in Unix microseconds; repeatable").StringsVar(&opts.Out)
	c.Flag("out-grace", "how long after FROM new work may still arrive").Default("3s").DurationVar(&opts.OutGrace)
	c.Flag("cold-grace", "how long a target that turned cold unannounced may be overrun").Default("2s").DurationVar(&opts.ColdGrace)
	c.Flag("calm", "also hold that nothing failed, as in a trial without overload and faults").BoolVar(&opts.Calm)
	return name, func(context.Context) error { return Run(opts) }
}

// Run reads the logs, prints a verdict for each check and fails when one of
// them found a violation.
func Run(opts *Options) error {
	in, err := Read(opts.Files)
	if err != nil {
		return &command.UsageError{Err: err}
	}
	in.OutOfServiceGrace, in.ColdGrace, in.ExpectNoFailures = opts.OutGrace, opts.ColdGrace, opts.Calm
	for _, text := range opts.Out {
		out, err := parseOut(text)
		if err != nil {
			return &command.UsageError{Err: err}
		}
		in.OutOfServicePeriods = append(in.OutOfServicePeriods, out)
	}
	findings := All(in)
	if err := Print(opts.Streams, findings); err != nil {
		return err
	}
	return Verdict(findings)
}

// Verdict returns an error when a finding holds a violation.
func Verdict(findings []Finding) error {
	failed := 0
	for _, finding := range findings {
		if finding.Violations > 0 {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d checks found violations", failed, len(findings))
	}
	return nil
}

// Print writes one row for each finding.
func Print(streams command.Streams, findings []Finding) error {
	var rows [][]string
	for _, finding := range findings {
		verdict, first := "holds", "-"
		if finding.Violations > 0 {
			verdict, first = "BROKEN", finding.Examples[0]
		}
		rows = append(rows, []string{
			finding.Check, verdict, strconv.Itoa(finding.Checked), strconv.Itoa(finding.Violations), first,
		})
	}
	return table.Write(streams.Out, []string{"CHECK", "VERDICT", "CHECKED", "VIOLATIONS", "FIRST"}, rows)
}
