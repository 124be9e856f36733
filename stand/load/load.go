// Package load is the stand-in for callers. It generates open-loop load, which
// does not wait for answers: each workspace has its own API key, arrival rate and
// mix of requests, and may retry failed requests without backoff. It prints the
// measures of package score.
//
// The HTTP client is that of net/http, not go-zero's httpc, because the circuit
// breaker of httpc would block requests of the plan.
package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/greengagewind/greengagewind/stand/command"
	"github.com/greengagewind/greengagewind/stand/limits"
	"github.com/greengagewind/greengagewind/stand/record"
	"github.com/greengagewind/greengagewind/stand/score"
)

const (
	// maxRecords is the maximum number of attempts that are held in memory for the
	// measures. Further attempts are logged but not measured.
	maxRecords  = 2_000_000
	dialTimeout = time.Second
)

// Options are the inputs of stand load.
type Options struct {
	// Plan is the path of the plan.
	Plan string
	// Keys is the path of the file of API keys, or "" for none.
	Keys string
	// Config is the path of the configuration file.
	Config string
	// Entries are the base URLs of the nodes' listeners for callers.
	Entries []string
	// Direct are the base URLs of the targets for direct requests.
	Direct []string
	// Retries is the minimum number of retries of a failed request. A phase of
	// the plan may set a higher minimum.
	Retries int
	Seed    uint64
	// Log is the path of the callers' log, or "" for none.
	Log  string
	JSON bool

	Streams command.Streams
}

// New declares the subcommand "stand load" on app and returns its name and the
// function that runs it.
func New(app *kingpin.Application, streams command.Streams) (string, command.Run) {
	const name = "load"
	opts := &Options{Streams: streams}
	c := app.Command(name, "send the requests of a plan and print the measures")
	c.Flag("plan", "TOML file with workspaces, request mixes and phases").Required().StringVar(&opts.Plan)
	c.Flag("keys", "file with a workspace and its key on each line").StringVar(&opts.Keys)
	c.Flag("config", "configuration file with the rates and bursts of the workspaces, for the measures").Required().StringVar(&opts.Config)
	c.Flag("entry", "base URL of a node's listener for callers; repeat the flag to spread the requests over several").Required().StringsVar(&opts.Entries)
	c.Flag("direct", "base URL of a target; every second request marked Direct in the plan is sent to such a target; repeatable").StringsVar(&opts.Direct)
	c.Flag("retries", "minimum number of immediate retries of a failed request").Default("0").IntVar(&opts.Retries)
	c.Flag("seed", "seed of the arrivals").Default("1").Uint64Var(&opts.Seed)
	c.Flag("log", "file to append one JSON line for each attempt to").StringVar(&opts.Log)
	c.Flag("json", "print the measures as JSON").BoolVar(&opts.JSON)
	return name, func(ctx context.Context) error { return Run(ctx, opts) }
}

// Run sends the requests of the plan and prints the measures. It returns an
// error when a successful answer was truncated or belonged to another request.
func Run(ctx context.Context, opts *Options) (err error) {
	plan, err := ReadPlan(opts.Plan)
	if err != nil {
		return &command.UsageError{Err: err}
	}
	report, err := Send(ctx, opts, plan)
	if err != nil {
		return err
	}
	if opts.JSON {
		encoder := json.NewEncoder(opts.Streams.Out)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(report)
	} else {
		err = score.Print(opts.Streams.Out, report)
	}
	if err != nil {
		return fmt.Errorf("print the measures: %w", err)
	}
	if report.Crossed+report.Truncated > 0 {
		return fmt.Errorf("%d answers were crossed (belonged to another request) and %d truncated", report.Crossed, report.Truncated)
	}
	return nil
}

// Send sends the requests of the plan and returns the measures. When ctx ends, it
// generates no more requests and waits for those in flight and their retries.
func Send(ctx context.Context, opts *Options, plan *Plan) (report score.Report, err error) {
	keys, err := ReadKeys(opts.Keys)
	if err != nil {
		return report, &command.UsageError{Err: err}
	}
	rateLimits, err := limits.Read(opts.Config)
	if err != nil {
		return report, &command.UsageError{Err: err}
	}
	log, err := record.Create(opts.Log)
	if err != nil {
		return report, &command.UsageError{Err: err}
	}
	defer func() { err = errors.Join(err, log.Close()) }()

	collected := &collector{log: log}
	client, closeClient := newClient(plan.MaxInFlight)
	defer closeClient()
	c := &callers{
		plan: plan, keys: keys, directURLs: opts.Direct, seed: opts.Seed, retries: opts.Retries,
		slots: make(chan struct{}, plan.MaxInFlight),
		sender: &sender{
			client: client, entryURLs: opts.Entries, timeout: time.Duration(plan.Timeout), record: collected.add,
		},
	}
	start := time.Now()
	c.run(ctx, start)
	return score.Compute(score.Input{Sent: collected.sent, Limits: rateLimits, Phases: phases(plan, start)}), nil
}

func newClient(maxInFlight int) (client *http.Client, closeIdle func()) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxInFlight}
	return &http.Client{Transport: transport}, transport.CloseIdleConnections
}

// phases returns the phases of a plan with their start and end times, for a trial
// that begins at start.
func phases(plan *Plan, start time.Time) []score.Phase {
	var timed []score.Phase
	for _, phase := range plan.Phase {
		end := start.Add(time.Duration(phase.Duration))
		timed = append(timed, score.Phase{
			Name: phase.Name, Role: phase.Role,
			StartMicros: start.UnixMicro(), EndMicros: end.UnixMicro(),
		})
		start = end
	}
	return timed
}

// collector writes the attempts to the log and holds them for the measures.
type collector struct {
	mu   sync.Mutex
	sent []record.Sent
	log  *record.Writer
}

func (c *collector) add(sent record.Sent) {
	c.log.Write(sent)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.sent) < maxRecords {
		c.sent = append(c.sent, sent)
	}
}
