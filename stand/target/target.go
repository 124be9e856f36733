// Package target is the stand-in for a target. It simulates a limited number of
// slots, with congestion and load shedding beyond them, and a cold start. It
// registers and drains at the node on its VM, makes nested calls through that
// node, and logs every run for the checks.
//
// The server uses net/http instead of go-zero's rest package, which would add load
// shedding, a circuit breaker and a timeout of its own to the behavior under test
// and cannot truncate an answer on purpose. The client uses net/http instead of
// go-zero's httpc package, whose circuit breaker would refuse nested calls.
package target

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/greengagewind/greengagewind/stand/command"
)

// Options are the options of the subcommand stand target.
type Options struct {
	Name    string
	Service string
	// Listen and Control are the addresses, as host:port, of the listener for
	// requests and of the control interface.
	Listen  string
	Control string
	// Node is the base URL of the node's listener for targets. The target does
	// not register at a node when it is "".
	Node string
	// Slots is the number of concurrent runs above which the target is congested.
	// It must be above 0.
	Slots int
	// Queue is the number of concurrent runs that the target admits beyond Slots
	// before it sheds requests.
	Queue int
	// ServiceTime is the mean duration of a run without congestion.
	ServiceTime time.Duration
	NestedCalls []NestedCall
	// RunLog is the path of the file to which each run is written as a JSON line;
	// no run is logged when it is "".
	RunLog string
	// ColdStart is how long the target is cold after its start; 0 starts it warm.
	ColdStart time.Duration
	// ColdSlots is the number of slots while the target is cold. It must be
	// above 0.
	ColdSlots int
	// TTL is the time to live of an announcement at the node. It must be above 0.
	TTL time.Duration
	// Incarnation distinguishes successive processes of one target; 0 stands for
	// the start time, as Unix time in milliseconds.
	Incarnation uint64
	// PadSize is the number of bytes of padding in each answer.
	PadSize int
	// Seed seeds the random numbers for service times and faults.
	Seed uint64

	Streams command.Streams
}

// New declares the subcommand stand target on app.
func New(app *kingpin.Application, streams command.Streams) (string, command.Run) {
	const name = "target"
	opts := &Options{Streams: streams}
	var calls []string
	cmd := app.Command(name, "run a stand-in for one target until SIGTERM or SIGINT")
	cmd.Flag("name", "name of the target, unique in the fleet").Required().StringVar(&opts.Name)
	cmd.Flag("service", "service of the target").Required().StringVar(&opts.Service)
	cmd.Flag("listen", "host:port for requests").Required().StringVar(&opts.Listen)
	cmd.Flag("control", "host:port of the control interface").Required().StringVar(&opts.Control)
	cmd.Flag("node", "base URL of the node on the same VM, such as http://127.0.1.1:8081").StringVar(&opts.Node)
	cmd.Flag("slots", "concurrent runs above which the target is congested").Default("100").IntVar(&opts.Slots)
	cmd.Flag("queue", "concurrent runs admitted beyond the slots before requests are shed; -1 for as many as the slots").Default("-1").IntVar(&opts.Queue)
	cmd.Flag("service-time", "mean duration of a run without congestion").Default("10ms").DurationVar(&opts.ServiceTime)
	cmd.Flag("call", `nested call, such as "POST /a" or "POST /b=POST /a" to make it only within POST /b`).StringsVar(&calls)
	cmd.Flag("run-log", "file to which each run is written as a JSON line").StringVar(&opts.RunLog)
	cmd.Flag("cold-start", "how long the target is cold after its start").Default("0s").DurationVar(&opts.ColdStart)
	cmd.Flag("cold-slots", "concurrent runs above which the cold target is congested").Default("10").IntVar(&opts.ColdSlots)
	cmd.Flag("ttl", "time to live of an announcement").Default("3s").DurationVar(&opts.TTL)
	cmd.Flag("version", "incarnation of the target; 0 for the start time").Default("0").Uint64Var(&opts.Incarnation)
	cmd.Flag("pad", "bytes of padding in each answer").Default("0").IntVar(&opts.PadSize)
	cmd.Flag("seed", "seed of the random service times and faults").Default("1").Uint64Var(&opts.Seed)
	return name, func(ctx context.Context) error {
		if err := opts.validateAndComplete(calls, time.Now()); err != nil {
			return &command.UsageError{Err: err}
		}
		return Run(ctx, opts)
	}
}

// validateAndComplete validates the options, replaces the values that stand for a
// default and parses calls into NestedCalls. It returns an error that names the
// invalid flag.
func (o *Options) validateAndComplete(calls []string, now time.Time) error {
	if o.Slots < 1 || o.ColdSlots < 1 {
		return fmt.Errorf("--slots and --cold-slots must be above 0")
	}
	if o.TTL <= 0 {
		return fmt.Errorf("--ttl must be above 0")
	}
	if o.Queue < 0 {
		o.Queue = o.Slots
	}
	if o.Incarnation == 0 {
		o.Incarnation = uint64(now.UnixMilli())
	}
	for _, text := range calls {
		call, err := ParseNestedCall(text)
		if err != nil {
			return err
		}
		o.NestedCalls = append(o.NestedCalls, call)
	}
	return nil
}
