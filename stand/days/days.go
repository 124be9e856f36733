// Package days simulates overload scenarios, called days, under several
// admission policies in simulated time, and prints the results side by side.
package days

import (
	"context"
	"fmt"
	"io"
	"sort"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/guptarohit/asciigraph"

	"github.com/greengagewind/greengagewind/gage/graph"
	"github.com/greengagewind/greengagewind/stand/command"
	"github.com/greengagewind/greengagewind/stand/table"
)

// New declares the subcommand "stand day" and returns its name and action.
func New(app *kingpin.Application, streams command.Streams) (string, command.Run) {
	const name = "day"
	c := app.Command(name, "simulate load and disturbances described in a file, and print the results of each policy")
	path := c.Arg("file", "TOML file that describes the scenario").Required().String()
	policyNames := c.Flag("policy", "policy to simulate: Open, Fixed, Chain or Brake; repeatable; all policies if not given").
		Enums(string(graph.PolicyOpen), string(graph.PolicyFixed), string(graph.PolicyChain), string(graph.PolicyBrake))
	seed := c.Flag("seed", "seed of the simulation; 0 for the seed in the file").Uint64()
	plots := c.Flag("plots", "draw goodput, refusals and latency over time").Default("true").Bool()
	return name, func(context.Context) error {
		scenario, err := Read(*path)
		if err != nil {
			return &command.UsageError{Err: err}
		}
		if *seed != 0 {
			scenario.Seed = *seed
		}
		policies := []graph.Policy{graph.PolicyOpen, graph.PolicyFixed, graph.PolicyChain, graph.PolicyBrake}
		if len(*policyNames) > len(colors) {
			return &command.UsageError{Err: fmt.Errorf("%d policies given, at most %d allowed", len(*policyNames), len(colors))}
		}
		if len(*policyNames) > 0 {
			policies = nil
			for _, name := range *policyNames {
				policies = append(policies, graph.Policy(name))
			}
		}
		return Print(streams.Out, scenario, policies, *plots)
	}
}

// Print simulates a scenario under each policy and writes a table with a row for
// each policy and each kind of request that callers send. With plots, it then
// draws goodput, refusals, failures and latency over time.
func Print(out io.Writer, scenario graph.Scenario, policies []graph.Policy, plots bool) error {
	results := make([]graph.Result, len(policies))
	for i, policy := range policies {
		scenario.Policy = policy
		results[i] = graph.Simulate(scenario)
	}
	heading := []string{"Kind", "Policy", "Sent", "InTime", "Late", "Refused", "Failed"}
	var rows [][]string
	for _, k := range scenario.Kinds {
		if k.Nested {
			continue
		}
		for i, policy := range policies {
			c := results[i].Kinds[k.Name]
			row := []string{k.Name, string(policy)}
			for _, n := range []int{c.Sent, c.InTime, c.Late, c.Refused, c.Failed} {
				row = append(row, strconv.Itoa(n))
			}
			rows = append(rows, row)
		}
	}
	if err := table.Write(out, heading, rows); err != nil || !plots {
		return err
	}
	return drawPlots(out, policies, results)
}

// series is a quantity for each second of the scenario.
type series struct {
	caption string
	valueAt func(r graph.Result, second int) float64
}

var plottedSeries = []series{
	{"Goodput: answers within the objective, by the second of the request's start", func(r graph.Result, i int) float64 {
		return float64(r.Seconds[i].InTime)
	}},
	{"Refusals a second", func(r graph.Result, i int) float64 { return float64(r.Seconds[i].Refused) }},
	{"Failures a second, after work was done", func(r graph.Result, i int) float64 { return float64(r.Seconds[i].Failed) }},
	{"Latency of served requests, 99th percentile, ms", func(r graph.Result, i int) float64 { return p99Millis(r.Latencies[i]) }},
}

// plotHeight is in terminal lines.
const plotHeight = 10

// colors has one color for each policy, and so bounds the number of policies.
var colors = []asciigraph.AnsiColor{asciigraph.Default, asciigraph.Blue, asciigraph.Yellow, asciigraph.Green}

func drawPlots(out io.Writer, policies []graph.Policy, results []graph.Result) error {
	legends := make([]string, len(policies))
	for i, policy := range policies {
		legends[i] = string(policy)
	}
	for _, s := range plottedSeries {
		lines := make([][]float64, len(results))
		for i, r := range results {
			// The last second is left out: the end of the scenario may cut it short.
			for second := range len(r.Seconds) - 1 {
				lines[i] = append(lines[i], s.valueAt(r, second))
			}
		}
		if err := drawSeries(out, s.caption, legends, lines); err != nil {
			return err
		}
	}
	return nil
}

// drawSeries draws one colored plot with all policies if out is a terminal, and
// otherwise one plot for each policy.
func drawSeries(out io.Writer, caption string, legends []string, lines [][]float64) error {
	options := []asciigraph.Option{asciigraph.Height(plotHeight), asciigraph.LowerBound(0)}
	if table.IsTerminal(out) {
		options = append(options, asciigraph.Caption(caption), asciigraph.SeriesColors(colors[:len(lines)]...), asciigraph.SeriesLegends(legends...))
		_, err := fmt.Fprintf(out, "\n%s\n", asciigraph.PlotMany(lines, options...))
		return err
	}
	for i, line := range lines {
		plot := asciigraph.Plot(line, append(options, asciigraph.Caption(legends[i]+": "+caption))...)
		if _, err := fmt.Fprintf(out, "\n%s\n", plot); err != nil {
			return err
		}
	}
	return nil
}

// p99Millis returns the 99th percentile in milliseconds, or 0 for no latencies.
func p99Millis(latencies []time.Duration) float64 {
	if len(latencies) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), latencies...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return float64(sorted[len(sorted)*99/100].Milliseconds())
}
