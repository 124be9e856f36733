// Command stand runs the scripts of the review: each starts nodes as separate processes on
// loopback addresses, with stand-ins of the store, the workers and the clients, and checks
// one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// cases are the cases by name. Each returns whether the rule held. The disruption is left
// out if trouble is false.
var cases = map[string]func(r *record, f *fleet, trouble bool) (bool, error){
	"logs":        logsCase,
	"leave":       leaveCase,
	"cold":        coldCase,
	"quota":       quotaCase,
	"last-tenant": lastTenantCase,
	"padded-key":  paddedKeyCase,
	"probe":       probeCase,
	"grey":        greyCase,
	"reuse":       reuseCase,
}

func main() { os.Exit(execute()) }

func execute() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD-FILE")
		return couldNot
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer r.close()
	f, err := newFleet(r)
	if err != nil {
		r.say("could not run: %v", err)
		return couldNot
	}
	defer f.stop()
	// A script may take 120 s.
	time.AfterFunc(115*time.Second, func() { abandon(r, f, "it took too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { abandon(r, f, (<-signals).String()) }()
	isHeld, err := cases[os.Args[1]](r, f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.say("could not run: %v", err)
		return couldNot
	case !isHeld:
		r.say("the rule is broken")
		return broken
	}
	r.say("the rule holds")
	return held
}

// abandon ends all processes and exits.
func abandon(r *record, f *fleet, cause string) {
	r.say("could not run: %s", cause)
	f.stop()
	r.close()
	os.Exit(couldNot)
}
