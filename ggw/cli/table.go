package cli

import (
	"strings"
	"unicode/utf8"
)

// columnGap is the number of spaces between columns on a terminal.
const columnGap = 2

// Color is the text color of a cell on a terminal, as the parameter of an ANSI
// SGR escape sequence.
type Color string

// The colors of cells. ColorNone means the default color of the terminal.
const (
	ColorNone   Color = ""
	ColorGreen  Color = "32"
	ColorYellow Color = "33"
	ColorRed    Color = "31"
)

// Cell is the text of one column in a row of a Table.
type Cell struct {
	Text  string
	Color Color
}

// Table is a table of text. On a terminal it is printed with a header and aligned
// columns. If the output is not a terminal, the header is left out and the fields are
// separated by tabs, so that other programs can read the output.
type Table struct {
	Header []string
	// Rows holds the cells of each row. No row may have more cells than Header.
	Rows [][]Cell
}

// AddRow appends a row of cells without color.
func (t *Table) AddRow(texts ...string) {
	cells := make([]Cell, len(texts))
	for i, text := range texts {
		cells[i] = Cell{Text: text}
	}
	t.Rows = append(t.Rows, cells)
}

// Print writes the table to s.Out; see Table for the two formats.
func (t *Table) Print(s Streams) {
	if !s.IsTerminal {
		for _, row := range t.Rows {
			texts := make([]string, len(row))
			for i, cell := range row {
				texts[i] = cell.Text
			}
			s.Printf("%s\n", strings.Join(texts, "\t"))
		}
		return
	}
	header := make([]Cell, len(t.Header))
	for i, text := range t.Header {
		header[i] = Cell{Text: text}
	}
	widths := t.columnWidths()
	for _, row := range append([][]Cell{header}, t.Rows...) {
		s.Printf("%s\n", formatRow(row, widths, s.UseColor))
	}
}

func (t *Table) columnWidths() []int {
	widths := make([]int, len(t.Header))
	for i, text := range t.Header {
		widths[i] = utf8.RuneCountInString(text)
	}
	for _, row := range t.Rows {
		for i, cell := range row {
			widths[i] = max(widths[i], utf8.RuneCountInString(cell.Text))
		}
	}
	return widths
}

func formatRow(row []Cell, widths []int, useColor bool) string {
	var line strings.Builder
	for i, cell := range row {
		line.WriteString(colorize(cell, useColor))
		if i < len(row)-1 {
			padding := widths[i] - utf8.RuneCountInString(cell.Text) + columnGap
			line.WriteString(strings.Repeat(" ", padding))
		}
	}
	return strings.TrimRight(line.String(), " ")
}

func colorize(cell Cell, useColor bool) string {
	if !useColor || cell.Color == ColorNone {
		return cell.Text
	}
	return "\x1b[" + string(cell.Color) + "m" + cell.Text + "\x1b[0m"
}
