// Package table prints tables: in aligned columns on a terminal, and with tabs
// between the columns otherwise, so that programs can parse them.
package table

import (
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
)

// columnGap is the number of spaces between columns on a terminal.
const columnGap = 2

// Write prints a heading and rows to out and returns the first write error.
func Write(out io.Writer, heading []string, rows [][]string) error {
	all := append([][]string{heading}, rows...)
	if !IsTerminal(out) {
		return writeRows(out, all)
	}
	w := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	if err := writeRows(w, all); err != nil {
		return err
	}
	return w.Flush()
}

func writeRows(out io.Writer, rows [][]string) error {
	for _, row := range rows {
		if _, err := fmt.Fprintln(out, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return nil
}

// IsTerminal reports whether out is a terminal or another character device.
func IsTerminal(out io.Writer) bool {
	file, ok := out.(*os.File)
	if !ok {
		return false
	}
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
