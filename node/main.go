// Command node runs one node of the fleet, on a VM with targets. The node accepts
// requests from callers and from the targets on its VM, routes them to targets of
// the fleet, and controls the admission of requests to the targets on its VM.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/greengagewind/greengagewind/node/check"
	"github.com/greengagewind/greengagewind/node/run"
)

// The exit codes of the process.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	os.Exit(execute(os.Args[1:]))
}

func execute(args []string) int {
	app := kingpin.New("node", "run or check one node of the fleet")
	app.UsageWriter(os.Stderr).ErrorWriter(os.Stderr)
	runOptions := run.New(app, os.Stderr)
	checkOptions := check.New(app, os.Stdout)
	command, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "node: %v, try node --help\n", err)
		return exitUsage
	}
	switch command {
	case run.Name:
		err = run.Run(runOptions)
	case check.Name:
		err = check.Run(checkOptions)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "node: %v\n", err)
		return exitFailure
	}
	return exitOK
}
