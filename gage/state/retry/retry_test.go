package retry_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/retry"
)

var now = time.Unix(1_800_000_000, 0)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

func call() gage.Call {
	return gage.Call{
		RequestID: "vm.1", Attempt: 1, Depth: 1, RetryBudget: 3, Idempotent: true,
		Deadline: now.Add(time.Second), AdmitBy: now.Add(time.Second),
	}
}

func TestNext(t *testing.T) {
	notRun := gage.Result{Outcome: gage.OutcomeNotRun, Reason: gage.ReasonOverload, Target: "t"}
	lost := gage.Result{Outcome: gage.OutcomeUnknown, Reason: gage.ReasonPeerFailed}
	cases := []struct {
		name      string
		change    func(c *gage.Call, r *gage.Result)
		result    gage.Result
		wantRetry bool
	}{
		{"refused by one target", func(*gage.Call, *gage.Result) {}, notRun, true},
		{"not idempotent, not run", func(c *gage.Call, _ *gage.Result) { c.Idempotent = false }, notRun, true},
		{"refused for the service", func(_ *gage.Call, r *gage.Result) { r.Target = "" }, notRun, false},
		{"over the rate", func(_ *gage.Call, r *gage.Result) { r.Reason = gage.ReasonOverRate }, notRun, false},
		{"lost", func(*gage.Call, *gage.Result) {}, lost, true},
		{"lost, not idempotent", func(c *gage.Call, _ *gage.Result) { c.Idempotent = false }, lost, false},
		{"lost after nested calls", func(_ *gage.Call, r *gage.Result) { r.NestedSideEffects = true }, lost, false},
		{"canceled", func(_ *gage.Call, r *gage.Result) { r.Reason = gage.ReasonCanceled }, lost, false},
		{"past the deadline", func(c *gage.Call, _ *gage.Result) { c.Deadline = now }, lost, false},
		{"past the decisions", func(c *gage.Call, _ *gage.Result) { c.AdmitBy = now }, lost, false},
		{"ran", func(_ *gage.Call, r *gage.Result) { r.Outcome = gage.OutcomeRan }, lost, false},
		{"attempts used up", func(c *gage.Call, _ *gage.Result) { c.Attempt = retry.MaxAttempts }, lost, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in, result := call(), c.result
			c.change(&in, &result)
			d := retry.Next(now, in, result, 2, 1, 7)
			assert.Equal(t, d.Retry, c.wantRetry)
			if !d.Retry {
				return
			}
			assert.Equal(t, d.Call.Attempt, in.Attempt+1)
			assert.Equal(t, d.Call.RetryBudget, 0)
			assert.Equal(t, d.Call.AfterUnknownOutcome, result.Outcome == gage.OutcomeUnknown)
		})
	}
}

func TestNextWithoutBudget(t *testing.T) {
	r := gage.Result{Outcome: gage.OutcomeNotRun, Reason: gage.ReasonOverload, Target: "t"}
	assert.Assert(t, !retry.Next(now, call(), r, 0, 0, 0).Retry)
}

// chain simulates a call and its nested calls. Each of them is retried according
// to Next, as on a node.
type chain struct {
	depth int
	// drawFailure draws the failure of one attempt. isLeaf says whether the
	// attempt is at the last service of the chain.
	drawFailure func(isLeaf bool) failure
	// attempts counts the attempts at the last service, and retries counts the
	// retries at all services.
	attempts int
	retries  int
}

type failure struct {
	outcome gage.Outcome
	// lost means that the response, and the retry budget in it, did not arrive.
	lost bool
}

func (c *chain) run(in gage.Call, depth int) gage.Result {
	in.Depth = depth
	at := now
	for {
		downstream, reserved := retry.SplitBudget(in)
		sent := in
		sent.RetryBudget = downstream
		r := c.attempt(sent, depth)
		d := retry.Next(at, in, r, downstream, reserved, 0)
		if !d.Retry {
			r.RetryBudget = retry.RemainingBudget(r, reserved)
			return r
		}
		c.retries++
		in = d.Call
	}
}

func (c *chain) attempt(in gage.Call, depth int) gage.Result {
	budget := retry.NewBudget(in.RetryBudget)
	isLeaf := depth == c.depth
	if isLeaf {
		c.attempts++
	} else {
		nested := in
		nested.Attempt = 1
		nested.RetryBudget = budget.TakeAll()
		taken := nested.RetryBudget
		budget.Return(taken, c.run(nested, depth+1).RetryBudget)
	}
	drawn := c.drawFailure(isLeaf)
	r := gage.Result{Outcome: drawn.outcome, Reason: gage.ReasonTargetFailed, Target: "t"}
	if !drawn.lost {
		r.RetryBudget = budget.Close()
	}
	return r
}

func TestFailingLeafStaysWithinBudget(t *testing.T) {
	for _, depth := range []int{5, 17} {
		for budget := range 8 {
			c := chain{depth: depth, drawFailure: func(isLeaf bool) failure {
				return failure{outcome: gage.OutcomeNotRun}
			}}
			in := call()
			in.RetryBudget = budget
			c.run(in, 1)
			assert.Equal(t, c.attempts, 1+budget, "depth %d", depth)
		}
	}
}

func TestFailuresAnywhereStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(0, 8).Draw(t, "budget")
		depth := rapid.SampledFrom([]int{1, 2, 5, 17}).Draw(t, "depth")
		outcomes := rapid.SampledFrom([]gage.Outcome{gage.OutcomeNotRun, gage.OutcomeUnknown})
		c := chain{depth: depth, drawFailure: func(bool) failure {
			return failure{outcome: outcomes.Draw(t, "outcome"), lost: rapid.Bool().Draw(t, "lost")}
		}}
		in := call()
		in.RetryBudget = budget
		c.run(in, 1)
		if c.retries > budget || c.attempts > 1+budget {
			t.Fatalf("%d retries and %d attempts at the leaf with a budget of %d", c.retries, c.attempts, budget)
		}
	})
}

func TestTokenBucketBoundsRetries(t *testing.T) {
	for _, importance := range gage.Importances {
		r := retry.NewTokenBucket()
		retries := 0
		for range 1000 {
			r.Earn()
			for r.Spend(importance) {
				retries++
			}
		}
		assert.Assert(t, retries <= 1000/10+10, "%d retries", retries)
		assert.Assert(t, retries >= 1000/10, "%d retries", retries)
	}
}

func TestTokenBucketReservesTokensForCriticalCalls(t *testing.T) {
	r := retry.NewTokenBucket()
	for r.Spend(gage.ImportanceLow) {
	}
	for range 5 {
		assert.Assert(t, r.Spend(gage.ImportanceCritical))
	}
	assert.Assert(t, !r.Spend(gage.ImportanceCritical))
}

func BenchmarkNext(b *testing.B) {
	c := call()
	r := gage.Result{Outcome: gage.OutcomeNotRun, Reason: gage.ReasonOverload, Target: "t"}
	b.ReportAllocs()
	for range b.N {
		retry.Next(now, c, r, 2, 1, 7)
	}
}
