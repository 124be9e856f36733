package score

import (
	"fmt"
	"io"
	"strconv"

	"github.com/greengagewind/greengagewind/stand/table"
)

// Print writes the report to out as tables separated by empty lines.
func Print(out io.Writer, r Report) error {
	tables := []struct {
		heading []string
		rows    [][]string
	}{
		{[]string{"MEASURE", "VALUE"}, measureRows(r)},
		{[]string{"PHASE", "ROLE", "REQUESTS", "WITHIN RATE", "WHOLE", "GOODPUT/S", "P50 MS", "P99 MS"}, phaseRows(r)},
		{[]string{"WORKSPACE", "REQUESTS", "WITHIN RATE", "WHOLE", "SHARE", "REFUSED", "REFUSED WITHIN"}, workspaceRows(r)},
		{[]string{"OUTCOME", "REASON", "STATUS", "ATTEMPTS"}, countRows(r)},
	}
	for i, t := range tables {
		if i > 0 {
			if _, err := fmt.Fprintln(out); err != nil {
				return err
			}
		}
		if err := table.Write(out, t.heading, t.rows); err != nil {
			return err
		}
	}
	return nil
}

func measureRows(r Report) [][]string {
	rows := [][]string{
		{"Goodput, whole requests/s", fmt.Sprintf("%.1f", r.Goodput)},
		{"Recovery time, ms", RecoveryText(r.RecoveryMillis)},
		{"Worst-served workspace", fmt.Sprintf("%s %s", r.WorstWorkspace, Percent(r.WorstShare))},
		{"Refused within rate", Percent(r.RefusedWithinRate)},
		{"Served while a zone left", Percent(r.ZoneOutShare)},
		{"Requests", strconv.Itoa(r.Requests)},
		{"Attempts", strconv.Itoa(r.Attempts)},
		{"Crossed answers", strconv.Itoa(r.Crossed)},
		{"Truncated answers", strconv.Itoa(r.Truncated)},
	}
	if r.Added.DirectCalls > 0 {
		rows = append(rows,
			[]string{"Added p50, ms", formatMillis(r.Added.P50Micros)},
			[]string{"Added p99, ms", formatMillis(r.Added.P99Micros)},
			[]string{"Compared calls, through and direct", fmt.Sprintf("%d %d", r.Added.Calls, r.Added.DirectCalls)})
	}
	return rows
}

func phaseRows(r Report) [][]string {
	var rows [][]string
	for _, p := range r.Phases {
		rows = append(rows, []string{
			p.Name, string(p.Role), strconv.Itoa(p.Requests), strconv.Itoa(p.Within), strconv.Itoa(p.Whole),
			fmt.Sprintf("%.1f", p.Goodput), formatMillis(p.P50Micros), formatMillis(p.P99Micros),
		})
	}
	return rows
}

func workspaceRows(r Report) [][]string {
	var rows [][]string
	for _, w := range r.Workspaces {
		rows = append(rows, []string{
			w.Name, strconv.Itoa(w.Requests), strconv.Itoa(w.Within), strconv.Itoa(w.Whole),
			Percent(w.Share), strconv.Itoa(w.Refused), strconv.Itoa(w.RefusedWithin),
		})
	}
	return rows
}

func countRows(r Report) [][]string {
	var rows [][]string
	for _, c := range r.Counts {
		rows = append(rows, []string{dashIfEmpty(c.Outcome), dashIfEmpty(c.Reason), strconv.Itoa(c.Status), strconv.Itoa(c.Number)})
	}
	return rows
}

// RecoveryText returns Report.RecoveryMillis as text for a table.
func RecoveryText(millis int64) string {
	switch millis {
	case NoTrigger:
		return "-"
	case -1:
		return "not recovered"
	}
	return strconv.FormatInt(millis, 10)
}

// Percent returns a share, such as 0.5, as a percentage with two decimals. A share
// below 0 means that there is no share; Percent then returns "-".
func Percent(share float64) string {
	if share < 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*share)
}

// formatMillis returns a time in microseconds as milliseconds with two decimals.
func formatMillis(micros int64) string {
	return fmt.Sprintf("%.2f", float64(micros)/1000)
}

// dashIfEmpty returns text, or "-" if text is "".
func dashIfEmpty(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
