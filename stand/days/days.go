// Package days plays days of overload in simulated time, under several
// policies, and prints them side by side.
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

// New declares stand day.
func New(app *kingpin.Application, streams command.Streams) (string, command.Run) {
	const name = "day"
	c := app.Command(name, "play a day of load and troubles in simulated time, and print it under each policy")
	path := c.Arg("file", "TOML file that describes the day").Required().String()
	names := c.Flag("policy", "policy to play: Open, Fixed, Chain or Brake; may be given several times; all without").
		Enums(string(graph.PolicyOpen), string(graph.PolicyFixed), string(graph.PolicyChain), string(graph.PolicyBrake))
	seed := c.Flag("seed", "seed of the day, 0 for that of the file").Uint64()
	plots := c.Flag("plots", "draw goodput, refusals and latency over time").Default("true").Bool()
	return name, func(context.Context) error {
		day, err := Read(*path)
		if err != nil {
			return &command.UsageError{Err: err}
		}
		if *seed != 0 {
			day.Seed = *seed
		}
		policies := []graph.Policy{graph.PolicyOpen, graph.PolicyFixed, graph.PolicyChain, graph.PolicyBrake}
		if len(*names) > len(colors) {
			return &command.UsageError{Err: fmt.Errorf("%d policies, there are %d", len(*names), len(colors))}
		}
		if len(*names) > 0 {
			policies = nil
			for _, name := range *names {
				policies = append(policies, graph.Policy(name))
			}
		}
		return Print(streams.Out, day, policies, *plots)
	}
}

// Print plays a day under each policy and writes a table by kind, and plots if
// asked.
func Print(out io.Writer, day graph.Scenario, policies []graph.Policy, plots bool) error {
	results := make([]graph.Result, len(policies))
	for i, policy := range policies {
		day.Policy = policy
		results[i] = graph.Simulate(day)
	}
	heading := []string{"Kind", "Policy", "Sent", "InTime", "Late", "Refused", "Failed"}
	var rows [][]string
	for _, k := range day.Kinds {
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
	return draw(out, policies, results)
}

// series is a quantity by the second.
type series struct {
	caption string
	of      func(r graph.Result, second int) float64
}

var drawn = []series{
	{"Goodput: answers within the objective, by the second in which requests began", func(r graph.Result, i int) float64 {
		return float64(r.Seconds[i].InTime)
	}},
	{"Refusals a second", func(r graph.Result, i int) float64 { return float64(r.Seconds[i].Refused) }},
	{"Failures a second, after work was done", func(r graph.Result, i int) float64 { return float64(r.Seconds[i].Failed) }},
	{"Latency of what was served, 99th percentile, ms", func(r graph.Result, i int) float64 { return percentile(r.Latencies[i]) }},
}

// plotHeight is in lines.
const plotHeight = 10

var colors = []asciigraph.AnsiColor{asciigraph.Default, asciigraph.Blue, asciigraph.Yellow, asciigraph.Green}

func draw(out io.Writer, policies []graph.Policy, results []graph.Result) error {
	legends := make([]string, len(policies))
	for i, policy := range policies {
		legends[i] = string(policy)
	}
	for _, s := range drawn {
		lines := make([][]float64, len(results))
		for i, r := range results {
			// The last second is cut off by the end of the day.
			for second := range len(r.Seconds) - 1 {
				lines[i] = append(lines[i], s.of(r, second))
			}
		}
		if err := drawOne(out, s.caption, legends, lines); err != nil {
			return err
		}
	}
	return nil
}

// drawOne draws all policies into one plot on a terminal, in colors, and each
// into one of its own elsewhere.
func drawOne(out io.Writer, caption string, legends []string, lines [][]float64) error {
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

// percentile returns the 99th percentile in milliseconds, 0 without any.
func percentile(took []time.Duration) float64 {
	if len(took) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), took...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return float64(sorted[len(sorted)*99/100].Milliseconds())
}
