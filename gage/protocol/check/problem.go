// Package check decodes TOML configuration files and reports every invalid value
// with its file, line and key, and with the values that are allowed.
package check

import (
	"fmt"
	"strings"
)

// Problem is one invalid value in a file.
type Problem struct {
	File string
	// Line counts from 1. It is 0 if the problem concerns the whole file.
	Line int
	// Key is the path of the field, such as Workspace[1].Rate. The elements of an
	// array are counted from 0.
	Key string
	// Value is the text of the value in the file. A long text is truncated.
	Value string
	// Allowed states which values are allowed, in a clause such as "must be true
	// or false".
	Allowed string
}

// String returns one line in the form File:Line: Key = Value: Allowed. Empty
// parts are left out.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, ": %s", p.Key)
	}
	if p.Value != "" {
		fmt.Fprintf(&b, " = %s", p.Value)
	}
	fmt.Fprintf(&b, ": %s", p.Allowed)
	return b.String()
}

// Problems are the invalid values of one file, sorted by line. It is empty if and
// only if the file is valid.
type Problems []Problem

// String returns one line for each problem.
func (ps Problems) String() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}
