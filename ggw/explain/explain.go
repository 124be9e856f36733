// Package explain implements the command ggw explain.
package explain

import (
	"context"
	"fmt"
	"strconv"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/protocol/oper"
	"github.com/greengagewind/greengagewind/gage/state/recent"
	"github.com/greengagewind/greengagewind/ggw/cli"
)

const help = `Every response and every refusal carries the request ID in the header
Gage-Request-Id. The command queries the node that received the request and
the nodes on the VMs of its targets; nested calls are included. Each node keeps
only its most recent decisions, so run the command soon after the request.

Columns: time, VM, event, request, attempt, target, outcome, reason, detail.
Each time is taken from the clock of the VM in that row.

EXAMPLES
  $ ggw explain --node 10.0.0.7:7004 vm-3.9q5ngi0ukth81fcc
  $ ggw explain --node 10.0.0.7:7004 --json vm-3.9q5ngi0ukth81fcc
`

const timeFormat = "15:04:05.000"

// Options holds the parsed flags and arguments of the command and its
// dependencies.
type Options struct {
	Streams    cli.Streams
	NodeClient cli.NodeClient
	// Node is the host:port or URL of the operator API of any node. The member list
	// of this node is used to find the other nodes.
	Node      string
	RequestID string
	JSON      bool
}

// New declares the command under parent. The command calls run, or Run if run is
// nil; a test can pass a function that inspects the parsed options.
func New(parent cli.Parent, env cli.Env, run func(context.Context, Options) error) cli.Command {
	o := Options{Streams: env.Streams, NodeClient: env.NodeClient}
	clause := parent.Command("explain", "show why a request was refused and where it ran").HelpLong(help)
	node := cli.NodeFlag(clause)
	asJSON := cli.JSONFlag(clause)
	clause.Arg("request-id", "ID of the request").Required().PlaceHolder("REQUEST-ID").StringVar(&o.RequestID)
	if run == nil {
		run = Run
	}
	return cli.Command{Name: clause.FullCommand(), Run: func(ctx context.Context) error {
		if _, ok := oper.VMOf(o.RequestID); !ok {
			return &cli.UsageError{Message: fmt.Sprintf(
				"REQUEST-ID %s must consist of a VM name, a dot and a suffix, as in the Gage-Request-Id header", o.RequestID)}
		}
		o.Node, o.JSON = *node, *asJSON
		return run(ctx, o)
	}}
}

// Run prints the events of the request, sorted by time. Nodes that do not respond
// are reported on standard error. Run returns an error if no events were found.
func Run(ctx context.Context, o Options) error {
	status, err := o.NodeClient.Status(ctx, o.Node)
	if err != nil {
		return fmt.Errorf("%w; specify another node with --node", err)
	}
	vm, _ := oper.VMOf(o.RequestID)
	s := newSearch(o.NodeClient, status.Members)
	if !s.isKnown(vm) {
		return fmt.Errorf("%s has no VM %s in its member list; check the ID, or specify a node with a longer uptime", status.VM, vm)
	}
	events := s.run(ctx, vm, o.RequestID)
	for _, err := range s.otherErrors {
		o.Streams.PrintErrf("ggw: %v; events of this node are missing", err)
	}
	if len(events) == 0 && s.entryErr != nil {
		return fmt.Errorf("%w; see the logs of %s", s.entryErr, vm)
	}
	if len(events) == 0 {
		return fmt.Errorf("no node has events of %s; nodes keep only recent requests, see the logs of %s",
			o.RequestID, vm)
	}
	if o.JSON {
		return o.Streams.WriteJSON(oper.Explanation{RequestID: o.RequestID, Events: events})
	}
	eventTable(events).Print(o.Streams)
	return nil
}

func eventTable(events []recent.Event) *cli.Table {
	t := &cli.Table{Header: []string{
		"TIME", "VM", "EVENT", "REQUEST", "ATTEMPT", "TARGET", "OUTCOME", "REASON", "DETAIL",
	}}
	for _, e := range events {
		t.Rows = append(t.Rows, []cli.Cell{
			{Text: e.At.UTC().Format(timeFormat)},
			{Text: e.VM},
			{Text: string(e.Event)},
			{Text: e.RequestID},
			{Text: strconv.Itoa(e.Attempt)},
			{Text: e.Target},
			{Text: string(e.Outcome), Color: outcomeColor(e.Outcome)},
			{Text: string(e.Reason)},
			{Text: e.Detail},
		})
	}
	return t
}

func outcomeColor(outcome gage.Outcome) cli.Color {
	switch outcome {
	case gage.OutcomeRan:
		return cli.ColorGreen
	case gage.OutcomeNotRun:
		return cli.ColorYellow
	case gage.OutcomeUnknown:
		return cli.ColorRed
	default:
		return cli.ColorNone
	}
}
