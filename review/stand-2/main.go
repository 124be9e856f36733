// Command stand-2 plays one case of the review against the project's nodes, with
// stand-ins for the platform's store, the workers and the clients.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxPlay is the longest time that a case may run.
const maxPlay = 110 * time.Second

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// playCase plays a case. Without trouble it does the same without the disruption.
type playCase func(f *fleet, isTroubled bool) error

var cases = map[string]playCase{
	"clock":  playClock,
	"odd":    playOdd,
	"routes": playRoutes,
	"storm":  playStorm,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD ROOT")
		os.Exit(exitNotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, recordPath, root string) int {
	run, found := cases[name]
	if !found {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return exitNotRun
	}
	root, err := filepath.Abs(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	f, err := newFleet(r, root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	var once sync.Once
	stop := func() { once.Do(f.stop) }
	defer stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan error, 1)
	go func() { done <- run(f, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-done:
	case <-signals:
		err = errors.New("the case was stopped")
	case <-time.After(maxPlay):
		err = errors.New("the case took too long")
	}
	switch {
	case err == nil:
		r.verdict("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		r.verdict("%v", err)
		return exitBroken
	}
	r.verdict("the case couldn't run: %v", err)
	return exitNotRun
}
