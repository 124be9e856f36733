package measure

import (
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/greengagewind/greengagewind/stand/check"
	"github.com/greengagewind/greengagewind/stand/score"
)

// row is one row of the table.
type row struct {
	name string
	// cell returns the text in the column of a policy.
	cell func(m Result) string
}

// tabulate returns a table with a row for each measure and a column for each
// policy.
func tabulate(results []Result) (heading []string, rows [][]string) {
	lines := []row{
		{"Goodput, whole requests/s", func(m Result) string { return fmt.Sprintf("%.1f", m.Report.Goodput) }},
		{"Recovery time, ms", func(m Result) string { return score.RecoveryText(m.Report.RecoveryMillis) }},
		{"Worst-served workspace", func(m Result) string {
			return m.Report.WorstWorkspace + " " + score.Percent(m.Report.WorstShare)
		}},
		{"Refused within rate", func(m Result) string { return score.Percent(m.Report.RefusedWithinRate) }},
		{"Served while a zone left and returned", func(m Result) string { return score.Percent(m.Report.ZoneOutShare) }},
		{"Requests", func(m Result) string { return fmt.Sprint(m.Report.Requests) }},
		{"Attempts", func(m Result) string { return fmt.Sprint(m.Report.Attempts) }},
	}
	if len(results) > 0 {
		lines = append(lines, phaseRows(results[0].Report)...)
		lines = append(lines, outcomeRows(results)...)
		lines = append(lines, checkRows(results[0].Findings)...)
		lines = append(lines, row{"Every process stopped gracefully", func(m Result) string {
			if m.ShutdownError != nil {
				return "NO"
			}
			return "yes"
		}})
	}
	heading = []string{"MEASURE"}
	for _, m := range results {
		heading = append(heading, m.Policy)
	}
	for _, line := range lines {
		cells := []string{line.name}
		for _, m := range results {
			cells = append(cells, line.cell(m))
		}
		rows = append(rows, cells)
	}
	return heading, rows
}

func phaseRows(report score.Report) []row {
	var lines []row
	for i, phase := range report.Phases {
		lines = append(lines, row{"Whole/within rate, p99 ms: " + phase.Name, func(m Result) string {
			p := m.Report.Phases[i]
			return fmt.Sprintf("%d/%d %.0f", p.Whole, p.Within, float64(p.P99Micros)/1000)
		}})
	}
	return lines
}

// outcomeRows returns one row for each combination of outcome, status and reason
// that occurred under any policy.
func outcomeRows(results []Result) []row {
	known := make(map[string]bool)
	var names []string
	for _, m := range results {
		for _, count := range m.Report.Counts {
			if name := outcomeName(count); !known[name] {
				known[name] = true
				names = append(names, name)
			}
		}
	}
	sort.Strings(names)
	lines := make([]row, 0, len(names))
	for _, name := range names {
		lines = append(lines, row{"Attempts: " + name, func(m Result) string {
			number := 0
			for _, count := range m.Report.Counts {
				if outcomeName(count) == name {
					number += count.Number
				}
			}
			return strconv.Itoa(number)
		}})
	}
	return lines
}

func outcomeName(count score.Count) string {
	return strings.TrimSpace(fmt.Sprintf("%s %d %s", count.Outcome, count.Status, count.Reason))
}

func checkRows(findings []check.Finding) []row {
	var lines []row
	for i, finding := range findings {
		lines = append(lines, row{"Violations: " + finding.Check, func(m Result) string {
			return fmt.Sprintf("%d of %d", m.Findings[i].Violations, m.Findings[i].Checked)
		}})
	}
	return lines
}

// checkResults returns an error when a process of any fleet failed, or when the
// log checks of the first policy found a violation. The other policies are
// baselines, which may violate the checks.
func checkResults(results []Result) error {
	if len(results) == 0 {
		return errors.New("no policy was measured")
	}
	for _, m := range results {
		if m.ShutdownError != nil {
			return fmt.Errorf("policy %s: %w", m.Policy, m.ShutdownError)
		}
	}
	if err := check.Verdict(results[0].Findings); err != nil {
		return fmt.Errorf("policy %s: %w", results[0].Policy, err)
	}
	return nil
}
