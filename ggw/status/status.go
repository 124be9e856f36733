// Package status implements the command ggw status.
package status

import (
	"context"
	"fmt"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/ggw/cli"
)

const help = `Every node learns the state of the whole fleet by gossip, so any node can be
queried. The first table shows the newest known generation of the configuration
and how many VMs have it. If the output is not a terminal, each line begins with
Fleet, Zone, VM or Target, and its fields are separated by tabs.

EXAMPLES
  $ ggw status --node 10.0.0.7:7004
  $ ggw status --node 10.0.0.7:7004 --zone zone-a
  $ ggw status --node 10.0.0.7:7004 | awk -F'\t' '$1 == "VM" && $4 != "Alive"'
`

// Options holds the parsed flags and arguments of the command and its
// dependencies.
type Options struct {
	Streams    cli.Streams
	Clock      gage.Clock
	NodeClient cli.NodeClient
	// Node is the host:port or URL of the operator API of the node to query.
	Node string
	// Zone is the only availability zone to show, or "" to show all.
	Zone string
	JSON bool
}

// New declares the command under parent. The command calls run, or Run if run is
// nil; a test can pass a function that inspects the parsed options.
func New(parent cli.Parent, env cli.Env, run func(context.Context, Options) error) cli.Command {
	o := Options{Streams: env.Streams, Clock: env.Clock, NodeClient: env.NodeClient}
	clause := parent.Command("status", "show the availability zones, VMs and targets of the fleet").HelpLong(help)
	node := cli.NodeFlag(clause)
	clause.Flag("zone", "show only this availability zone").PlaceHolder("ZONE").StringVar(&o.Zone)
	asJSON := cli.JSONFlag(clause)
	if run == nil {
		run = Run
	}
	return cli.Command{Name: clause.FullCommand(), Run: func(ctx context.Context) error {
		o.Node, o.JSON = *node, *asJSON
		return run(ctx, o)
	}}
}

// Run prints the state of the fleet as o.Node reports it. It returns an error if the
// node does not respond or knows no VM in o.Zone.
func Run(ctx context.Context, o Options) error {
	status, err := o.NodeClient.Status(ctx, o.Node)
	if err != nil {
		return fmt.Errorf("%w; specify another node with --node", err)
	}
	if o.Zone != "" {
		status.Members = membersInZone(status.Members, o.Zone)
		if len(status.Members) == 0 {
			return fmt.Errorf("no VM in zone %s is known to %s; run ggw status without --zone", o.Zone, status.VM)
		}
	}
	if o.JSON {
		return o.Streams.WriteJSON(status)
	}
	v := newView(status, o.Clock.Now())
	for _, section := range []section{v.fleet(), v.zones(), v.vms(), v.targets()} {
		section.print(o.Streams)
	}
	return nil
}

func membersInZone(members []gage.Member, zone string) []gage.Member {
	var inZone []gage.Member
	for _, m := range members {
		if m.Zone == zone {
			inZone = append(inZone, m)
		}
	}
	return inZone
}
