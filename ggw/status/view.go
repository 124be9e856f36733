package status

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/protocol/oper"
	"github.com/greengagewind/greengagewind/ggw/cli"
)

const (
	// coldPhase is shown for a target that is serving, but whose cold start is not
	// over.
	coldPhase = "Cold"
	// neverConfirmed is shown for a node that has never confirmed that its
	// generation is the newest one.
	neverConfirmed = "never"
)

// section is one of the tables that the command prints.
type section struct {
	// linePrefix is printed as the first field of each line if the output is not a
	// terminal.
	linePrefix string
	table      cli.Table
}

func (s section) print(streams cli.Streams) {
	if !streams.IsTerminal {
		for i, row := range s.table.Rows {
			s.table.Rows[i] = append([]cli.Cell{{Text: s.linePrefix}}, row...)
		}
	}
	s.table.Print(streams)
	if streams.IsTerminal {
		streams.Printf("\n")
	}
}

// view formats a status whose members are sorted by zone and VM.
type view struct {
	status oper.Status
	now    time.Time
}

func newView(status oper.Status, now time.Time) view {
	slices.SortFunc(status.Members, func(a, b gage.Member) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.VM, b.VM))
	})
	return view{status: status, now: now}
}

func (v view) fleet() section {
	newestGeneration, aliveVMs, upToDateVMs := v.status.Generation, 0, 0
	for _, m := range v.status.Members {
		newestGeneration = max(newestGeneration, m.Generation)
	}
	for _, m := range v.status.Members {
		if m.Phase != gage.MemberAlive {
			continue
		}
		aliveVMs++
		if m.Generation == newestGeneration {
			upToDateVMs++
		}
	}
	table := cli.Table{Header: []string{"GENERATION", "VMS UP TO DATE", "VMS ALIVE", "CONFIRMED", "REPORTED BY"}}
	upToDateCell := cli.Cell{Text: strconv.Itoa(upToDateVMs), Color: cli.ColorGreen}
	if upToDateVMs < aliveVMs {
		upToDateCell.Color = cli.ColorYellow
	}
	table.Rows = [][]cli.Cell{{
		{Text: strconv.FormatInt(newestGeneration, 10)},
		upToDateCell,
		{Text: strconv.Itoa(aliveVMs)},
		{Text: confirmedText(v.status.ConfirmedAgeMillis)},
		{Text: v.status.VM},
	}}
	return section{linePrefix: "Fleet", table: table}
}

func confirmedText(ageMillis int64) string {
	if ageMillis < 0 {
		return neverConfirmed
	}
	return fmt.Sprintf("%s ago", time.Duration(ageMillis)*time.Millisecond)
}

func (v view) zones() section {
	type zoneCounts struct {
		region                        string
		alive, suspect, gone, targets int
	}
	counts := make(map[string]zoneCounts)
	for _, m := range v.status.Members {
		c := counts[m.Zone]
		c.region = m.Region
		switch m.Phase {
		case gage.MemberAlive:
			c.alive++
			c.targets += len(m.Targets)
		case gage.MemberSuspect:
			c.suspect++
		default:
			c.gone++
		}
		counts[m.Zone] = c
	}
	table := cli.Table{Header: []string{"ZONE", "REGION", "IN SERVICE", "ALIVE", "SUSPECT", "GONE", "TARGETS"}}
	for _, zone := range slices.Sorted(maps.Keys(counts)) {
		c := counts[zone]
		table.Rows = append(table.Rows, []cli.Cell{
			{Text: zone},
			{Text: c.region},
			inServiceCell(!slices.Contains(v.status.ZonesOut, zone)),
			{Text: strconv.Itoa(c.alive)},
			{Text: strconv.Itoa(c.suspect)},
			{Text: strconv.Itoa(c.gone)},
			{Text: strconv.Itoa(c.targets)},
		})
	}
	return section{linePrefix: "Zone", table: table}
}

func (v view) vms() section {
	table := cli.Table{Header: []string{"VM", "ZONE", "PHASE", "GENERATION", "TARGETS", "OPERATOR ADDRESS"}}
	for _, m := range v.status.Members {
		table.Rows = append(table.Rows, []cli.Cell{
			{Text: m.VM},
			{Text: m.Zone},
			memberPhaseCell(m.Phase),
			{Text: strconv.FormatInt(m.Generation, 10)},
			{Text: strconv.Itoa(len(m.Targets))},
			{Text: m.OperatorAddress},
		})
	}
	return section{linePrefix: "VM", table: table}
}

func (v view) targets() section {
	table := cli.Table{Header: []string{"TARGET", "SERVICE", "VM", "ZONE", "IN SERVICE", "PHASE"}}
	for _, m := range v.status.Members {
		for _, t := range m.Targets {
			table.Rows = append(table.Rows, []cli.Cell{
				{Text: t.Name},
				{Text: t.Service},
				{Text: m.VM},
				{Text: m.Zone},
				inServiceCell(!slices.Contains(v.status.TargetsOut, t.Name) && !slices.Contains(v.status.ZonesOut, m.Zone)),
				v.targetPhaseCell(m, t),
			})
		}
	}
	return section{linePrefix: "Target", table: table}
}

func inServiceCell(inService bool) cli.Cell {
	if inService {
		return cli.Cell{Text: "yes", Color: cli.ColorGreen}
	}
	return cli.Cell{Text: "no", Color: cli.ColorYellow}
}

func memberPhaseCell(phase gage.MemberPhase) cli.Cell {
	cell := cli.Cell{Text: string(phase)}
	switch phase {
	case gage.MemberAlive:
		cell.Color = cli.ColorGreen
	case gage.MemberSuspect:
		cell.Color = cli.ColorYellow
	case gage.MemberDead:
		cell.Color = cli.ColorRed
	}
	return cell
}

// targetPhaseCell returns the phase of a target. If the VM of the target is not
// alive, it returns the phase of the VM instead, since the recorded phase of the
// target may be out of date.
func (v view) targetPhaseCell(m gage.Member, t gage.TargetRecord) cli.Cell {
	switch {
	case m.Phase != gage.MemberAlive:
		return memberPhaseCell(m.Phase)
	case t.Phase == gage.TargetServing && t.ColdUntil > v.now.UnixMilli():
		return cli.Cell{Text: coldPhase, Color: cli.ColorYellow}
	case t.Phase == gage.TargetServing:
		return cli.Cell{Text: string(t.Phase), Color: cli.ColorGreen}
	default:
		return cli.Cell{Text: string(t.Phase), Color: cli.ColorYellow}
	}
}
