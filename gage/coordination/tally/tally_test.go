package tally_test

import (
	"bytes"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/tally"
)

func prometheusText(set *metrics.Set) string {
	var b bytes.Buffer
	set.WritePrometheus(&b)
	return b.String()
}

func TestCountRequest(t *testing.T) {
	set := metrics.NewSet()
	counts := tally.New(set)
	call := gage.Call{Route: "search", Workspace: "aurora"}
	for range 2 {
		counts.CountRequest(call, gage.Result{Outcome: gage.OutcomeRan}, 20*time.Millisecond)
	}
	counts.CountRequest(call, gage.Result{Outcome: gage.OutcomeNotRun, Reason: gage.ReasonOverRate}, time.Millisecond)
	counts.CountRequest(gage.Call{}, gage.Result{Outcome: gage.OutcomeNotRun, Reason: gage.ReasonNoRoute}, 0)
	for _, line := range []string{
		`gage_route_requests_total{Route="search",Outcome="Ran",Reason=""} 2`,
		`gage_route_requests_total{Route="search",Outcome="NotRun",Reason="OverRate"} 1`,
		`gage_route_requests_total{Route="",Outcome="NotRun",Reason="NoRoute"} 1`,
		`gage_workspace_requests_total{Workspace="aurora",Outcome="NotRun",Reason="OverRate"} 1`,
		`gage_route_seconds_count{Route="search"} 2`,
		`gage_requests_uncounted_total 0`,
	} {
		assert.Assert(t, strings.Contains(prometheusText(set), line+"\n"), line)
	}
}

func TestNumberOfSeriesIsLimited(t *testing.T) {
	set := metrics.NewSet()
	counts := tally.New(set)
	for i := range 5000 {
		counts.CountRequest(gage.Call{Route: strconv.Itoa(i)}, gage.Result{Outcome: gage.OutcomeRan}, time.Millisecond)
	}
	assert.Equal(t, strings.Count(prometheusText(set), "gage_route_requests_total{"), 4095)
	assert.Equal(t, strings.Count(prometheusText(set), "gage_workspace_requests_total{"), 1)
	assert.Assert(t, strings.Contains(prometheusText(set), "gage_requests_uncounted_total 905\n"))
}
