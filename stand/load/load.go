// Package load is the stand-in for callers: open-loop arrivals that do not
// wait for answers, each workspace with its own key, rate and mix of requests,
// which may retry hard. It prints the measures of the brief.
//
// Its client is net/http and not go-zero's httpc, whose breaker would hold back
// requests that the plan says arrive.
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
	// maxRecords bounds the attempts kept in memory for the measures.
	maxRecords = 2_000_000
	// dialTimeout bounds the making of a connection.
	dialTimeout = time.Second
)

// Options are the inputs of stand load.
type Options struct {
	Plan    string
	Keys    string
	Config  string
	Entries []string
	// Direct are base URLs of targets.
	Direct  []string
	Retries int
	Seed    uint64
	Log     string
	JSON    bool

	Streams command.Streams
}

// New declares stand load.
func New(app *kingpin.Application, streams command.Streams) (string, command.Run) {
	const name = "load"
	opts := &Options{Streams: streams}
	c := app.Command(name, "send the requests of a plan and print the measures")
	c.Flag("plan", "TOML file with workspaces, mixes and phases").Required().StringVar(&opts.Plan)
	c.Flag("keys", "file with a workspace and its key on each line").StringVar(&opts.Keys)
	c.Flag("config", "operators' file, for the rates and bursts that the measures hold against").Required().StringVar(&opts.Config)
	c.Flag("entry", "base URL of a node's listener for callers; repeat it to spread").Required().StringsVar(&opts.Entries)
	c.Flag("direct", "base URL of a target that takes every second lookup directly; repeatable").StringsVar(&opts.Direct)
	c.Flag("retries", "repeat a failed request this often at once").Default("0").IntVar(&opts.Retries)
	c.Flag("seed", "seed of the arrivals").Default("1").Uint64Var(&opts.Seed)
	c.Flag("log", "file that gets one JSON line for each attempt").StringVar(&opts.Log)
	c.Flag("json", "print JSON").BoolVar(&opts.JSON)
	return name, func(ctx context.Context) error { return Run(ctx, opts) }
}

// Run sends the plan and prints the measures. It fails when an answer that
// claimed success was not whole or was another's.
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
		return fmt.Errorf("%d answers were crossed and %d truncated", report.Crossed, report.Truncated)
	}
	return nil
}

// Send sends the plan and returns the measures.
func Send(ctx context.Context, opts *Options, plan *Plan) (report score.Report, err error) {
	keys, err := ReadKeys(opts.Keys)
	if err != nil {
		return report, &command.UsageError{Err: err}
	}
	allowed, err := limits.Read(opts.Config)
	if err != nil {
		return report, &command.UsageError{Err: err}
	}
	log, err := record.Create(opts.Log)
	if err != nil {
		return report, &command.UsageError{Err: err}
	}
	defer func() { err = errors.Join(err, log.Close()) }()

	kept := &collector{log: log}
	client, closeClient := newClient(plan.MaxInFlight)
	defer closeClient()
	c := &callers{
		plan: plan, keys: keys, direct: opts.Direct, seed: opts.Seed, retries: opts.Retries,
		slots: make(chan struct{}, plan.MaxInFlight),
		sender: &sender{
			client: client, entries: opts.Entries, timeout: time.Duration(plan.Timeout), keep: kept.keep,
		},
	}
	start := time.Now()
	c.run(ctx, start)
	return score.Compute(score.Input{Sent: kept.sent, Limits: allowed, Phases: phases(plan, start)}), nil
}

func newClient(maxInFlight int) (client *http.Client, closeIdle func()) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxInFlight}
	return &http.Client{Transport: transport}, transport.CloseIdleConnections
}

func phases(plan *Plan, start time.Time) []score.Phase {
	var made []score.Phase
	for _, phase := range plan.Phase {
		end := start.Add(time.Duration(phase.Duration))
		made = append(made, score.Phase{
			Name: phase.Name, Role: phase.Role,
			StartMicros: start.UnixMicro(), EndMicros: end.UnixMicro(),
		})
		start = end
	}
	return made
}

// collector keeps the attempts for the measures and the log.
type collector struct {
	mu   sync.Mutex
	sent []record.Sent
	log  *record.Writer
}

func (c *collector) keep(sent record.Sent) {
	c.log.Write(sent)
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.sent) < maxRecords {
		c.sent = append(c.sent, sent)
	}
}
