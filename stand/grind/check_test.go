package grind_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/stand/grind"
	"github.com/greengagewind/greengagewind/stand/plat"
)

var begun = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return begun.Add(time.Duration(seconds * float64(time.Second))) }

// calm returns a record without faults, in which one key and one route are in
// force from the start.
func calm() *grind.Record {
	never := func(string, time.Time, time.Time) bool { return false }
	return &grind.Record{
		Changes:   []grind.Change{{At: at(0), Kind: grind.KeyAdded, What: "key-a"}, {At: at(0), Kind: grind.RouteAdded, What: "look"}},
		Arrivals:  map[string][]plat.Arrival{},
		Disturbed: never, Stopping: never,
	}
}

// add adds a request that was sent and ran at a time, with so many runs.
func add(r *grind.Record, seconds float64, runs int, change func(o *grind.Outcome, run *grind.Execution)) {
	o := grind.Outcome{
		ID: fmt.Sprint(len(r.Outcomes)), VM: "vm-1", Route: "look", Workspace: "aurora", Key: "key-a", Status: 200,
		Sent: at(seconds), Received: at(seconds + 0.01),
	}
	run := grind.Execution{Run: plat.Run{At: at(seconds + 0.005), ID: o.ID, Workspace: "aurora", Expected: "i-2", Millis: 100}, VM: "vm-2", Zone: "zone-b"}
	change(&o, &run)
	r.Outcomes = append(r.Outcomes, o)
	for range runs {
		r.Runs = append(r.Runs, run)
	}
}

func plain(*grind.Outcome, *grind.Execution) {}

func status(n int) func(*grind.Outcome, *grind.Execution) {
	return func(o *grind.Outcome, _ *grind.Execution) { o.Status = n }
}

func TestCheckFindsEachBrokenPromiseOfOneRequest(t *testing.T) {
	cases := []struct {
		name   string
		runs   int
		change func(o *grind.Outcome, run *grind.Execution)
		want   string
	}{
		{"served", 1, plain, ""},
		{"repeated", 2, func(o *grind.Outcome, _ *grind.Execution) { o.Repeatable = true }, ""},
		{"refused", 0, status(503), ""},
		{"lost", 1, status(502), ""},
		{"no answer", 1, status(0), ""},
		{"twice", 2, plain, "at most once"},
		{"refused but run", 1, status(503), "has not run"},
		{"over the rate but run", 1, status(429), "has not run"},
		{"not run but served", 0, plain, "has run"},
		{"mixed", 1, func(o *grind.Outcome, _ *grind.Execution) { o.Mixed = true }, "whole"},
		{"other workspace", 1, func(_ *grind.Outcome, run *grind.Execution) { run.Workspace = "boreal" }, "workspace"},
		{"key passed on", 1, func(_ *grind.Outcome, run *grind.Execution) { run.Key = "secret" }, "hidden"},
		{"too much time", 1, func(_ *grind.Outcome, run *grind.Execution) { run.Millis = 3001 }, "no more time"},
		{"no deadline", 1, func(_ *grind.Outcome, run *grind.Execution) { run.Millis = -1 }, "no more time"},
		{"denied", 0, status(401), "not denied"},
		{"bad request", 0, status(400), "not denied"},
		{"route not found", 0, status(404), "is known"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := calm()
			add(r, 20, c.runs, c.change)
			expect(t, r, c.want)
		})
	}
}

// expect checks that one promise is broken, or none when want is "".
func expect(t *testing.T, r *grind.Record, want string) {
	t.Helper()
	violations := grind.Check(r)
	if want == "" {
		assert.Equal(t, len(violations), 0, "%v", violations)
		return
	}
	assert.Assert(t, len(violations) > 0)
	for _, v := range violations {
		assert.Assert(t, strings.Contains(v, want), v)
	}
}

func TestCheckFindsEachBrokenPromiseOfTheFleet(t *testing.T) {
	change := func(r *grind.Record, c grind.Change) { r.Changes = append(r.Changes, c) }
	always := func(string, time.Time, time.Time) bool { return true }
	cases := []struct {
		name  string
		build func(r *grind.Record)
		want  string
	}{
		{"withdrawn key in time", func(r *grind.Record) {
			change(r, grind.Change{At: at(15), Kind: grind.KeyWithdrawn, What: "key-a"})
			add(r, 19.9, 1, plain)
		}, ""},
		{"withdrawn key", func(r *grind.Record) {
			change(r, grind.Change{At: at(15), Kind: grind.KeyWithdrawn, What: "key-a"})
			add(r, 20.1, 1, plain)
		}, "withdrawn key"},
		{"withdrawn key on a disturbed node", func(r *grind.Record) {
			r.Disturbed = always
			change(r, grind.Change{At: at(15), Kind: grind.KeyWithdrawn, What: "key-a"})
			add(r, 20.1, 1, plain)
		}, "withdrawn key"},
		{"removed route", func(r *grind.Record) {
			change(r, grind.Change{At: at(15), Kind: grind.RouteRemoved, What: "look"})
			add(r, 17.1, 1, plain)
		}, "was removed"},
		{"removed route on a disturbed node", func(r *grind.Record) {
			r.Disturbed = always
			change(r, grind.Change{At: at(15), Kind: grind.RouteRemoved, What: "look"})
			add(r, 17.1, 1, plain)
		}, ""},
		{"zone taken out in time", func(r *grind.Record) {
			change(r, grind.Change{At: at(15), Kind: grind.ZoneClosed, What: "zone-b"})
			add(r, 19.9, 1, plain)
		}, ""},
		{"zone taken out", func(r *grind.Record) {
			change(r, grind.Change{At: at(15), Kind: grind.ZoneClosed, What: "zone-b"})
			add(r, 20.1, 1, plain)
		}, "zone taken out"},
		{"zone back", func(r *grind.Record) {
			change(r, grind.Change{At: at(15), Kind: grind.ZoneClosed, What: "zone-b"})
			change(r, grind.Change{At: at(20), Kind: grind.ZoneOpened, What: "zone-b"})
			add(r, 20.1, 1, plain)
		}, ""},
		{"left target", func(r *grind.Record) {
			change(r, grind.Change{At: at(15), Kind: grind.TargetLeaves, What: "i-2"})
			add(r, 17.1, 1, plain)
		}, "leaving target"},
		{"left target, next lifetime", func(r *grind.Record) {
			change(r, grind.Change{At: at(15), Kind: grind.TargetLeaves, What: "i-1"})
			add(r, 17.1, 1, plain)
		}, ""},
		{"cold target", func(r *grind.Record) {
			change(r, grind.Change{At: at(19), Kind: grind.TargetBegins, What: "i-2", Cold: 3 * time.Second})
			for range 36 {
				add(r, 20, 1, plain)
			}
		}, "cold target"},
		{"cold target that gets what it bears", func(r *grind.Record) {
			change(r, grind.Change{At: at(19), Kind: grind.TargetBegins, What: "i-2", Cold: 3 * time.Second})
			for range 35 {
				add(r, 20, 1, plain)
			}
		}, ""},
		{"warm target", func(r *grind.Record) {
			change(r, grind.Change{At: at(16), Kind: grind.TargetBegins, What: "i-2", Cold: 3 * time.Second})
			for range 100 {
				add(r, 20, 1, plain)
			}
		}, ""},
		{"over the rate", func(r *grind.Record) {
			change(r, grind.Change{At: at(0), Kind: grind.RateSet, What: "aurora", Rate: 10, Burst: 10})
			for range 87 {
				add(r, 20, 1, plain)
			}
		}, "more than its rate"},
		{"within the rate", func(r *grind.Record) {
			change(r, grind.Change{At: at(0), Kind: grind.RateSet, What: "aurora", Rate: 10, Burst: 10})
			for range 86 {
				add(r, 20, 1, plain)
			}
		}, ""},
		{"cut by a planned stop", func(r *grind.Record) {
			r.Stopping = always
			add(r, 20, 1, status(0))
		}, "planned stop"},
		{"too many repeats", func(r *grind.Record) { r.Arrivals["search"] = arrivals(100, 71) }, "repeats are bounded"},
		{"repeats within the bound", func(r *grind.Record) { r.Arrivals["search"] = arrivals(100, 70) }, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := calm()
			c.build(r)
			expect(t, r, c.want)
		})
	}
}

// arrivals returns so many first arrivals, and repeats behind them.
func arrivals(firsts, repeats int) []plat.Arrival {
	var all []plat.Arrival
	for i := range firsts + repeats {
		all = append(all, plat.Arrival{At: at(20 + float64(i)*0.001), ID: fmt.Sprint(i % firsts)})
	}
	return all
}
