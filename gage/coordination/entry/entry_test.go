package entry_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/entry"
	"github.com/greengagewind/greengagewind/gage/coordination/host"
	"github.com/greengagewind/greengagewind/gage/state/keys"
	"github.com/greengagewind/greengagewind/gage/state/recent"
	"github.com/greengagewind/greengagewind/gage/state/retry"
)

const (
	key      = "the-key-of-casa-norte"
	otherKey = "the-key-of-casa-sur"
)

func config() gage.Config {
	return gage.Config{
		Generation: 1,
		Workspaces: []gage.Workspace{
			{Name: "casa-norte", KeyDigests: []string{keys.Digest(key)}, Rate: 10, Burst: 10},
			{Name: "casa-sur", KeyDigests: []string{keys.Digest(otherKey)}, Rate: 10, Burst: 10},
		},
		Services: []gage.Service{{Name: "search"}, {Name: "custody"}},
		Routes: []gage.Route{
			{Name: "find", Method: "GET", PathPrefix: "/search", Service: "search", Importance: gage.ImportanceNormal, Idempotent: true, Deadline: time.Second},
			{Name: "lodge", Method: "POST", PathPrefix: "/custody/lodge", Service: "custody", Importance: gage.ImportanceCritical, Deadline: time.Second},
			{Name: "inside", Method: "POST", PathPrefix: "/inside", Service: "custody", Importance: gage.ImportanceNormal, Internal: true, Deadline: time.Second},
			{Name: "open", Method: "GET", PathPrefix: "/open", Service: "search", Importance: gage.ImportanceLow, Idempotent: true, Open: true, Deadline: time.Second},
		},
	}
}

// fakeFleet implements the interfaces on which an Entry depends.
type fakeFleet struct {
	now     time.Time
	isFresh bool
	grant   gage.Grant
	// quotaFailures is the number of first calls to Take that fail because no
	// quota holder answers.
	quotaFailures int
	claim         gage.Claim
	// quotaTakes are the workspaces for which quota was requested.
	quotaTakes []string
	// forwarded are the calls that were forwarded to a target.
	forwarded []gage.Call
	answer    func(c gage.Call) gage.Result
	// settled are the results with which claims were settled.
	settled     []gage.Result
	activeCalls *host.ActiveCalls
	entry       *entry.Entry
}

func newFakeFleet() *fakeFleet {
	now := time.Unix(1_800_000_000, 0)
	f := &fakeFleet{
		now:         now,
		isFresh:     true,
		grant:       gage.Grant{OK: true, AdmitBy: now.Add(time.Second)},
		claim:       gage.Claim{Outcome: gage.OutcomeNotRun},
		activeCalls: host.NewActiveCalls(),
	}
	f.answer = func(c gage.Call) gage.Result {
		return gage.Result{Outcome: gage.OutcomeRan, Status: http.StatusOK, RetryBudget: c.RetryBudget}
	}
	views := &entry.Views{}
	views.Set(entry.NewView(config()))
	f.entry = entry.New(entry.Options{
		VM: "a1", Views: views, Freshness: f, Limiter: f, Claimer: f, Router: f, Forwarder: f,
		RetryRatio: retry.NewTokenBucket(), ActiveCalls: f.activeCalls, Recent: recent.New(64), Clock: f,
		NewID:  func() string { return "a1.x" },
		Random: func() uint64 { return 0 },
		Sleep:  func(context.Context, time.Duration) {},
	})
	return f
}

func (f *fakeFleet) Now() time.Time       { return f.now }
func (f *fakeFleet) Fresh(time.Time) bool { return f.isFresh }

func (f *fakeFleet) Take(_ context.Context, _ time.Time, workspace string) gage.Grant {
	f.quotaTakes = append(f.quotaTakes, workspace)
	if len(f.quotaTakes) <= f.quotaFailures {
		return gage.Grant{Reason: gage.ReasonQuotaUnavailable}
	}
	return f.grant
}

func (f *fakeFleet) Claim(context.Context, time.Time, gage.Call) gage.Claim { return f.claim }

func (f *fakeFleet) Settle(_ context.Context, _ time.Time, _ gage.Call, _ gage.Claim, r gage.Result) {
	f.settled = append(f.settled, r)
}

func (f *fakeFleet) Pick(time.Time, gage.Call, []string) gage.Choice {
	return gage.Choice{OK: true, Target: "t", VM: "b1"}
}

func (f *fakeFleet) Observe(time.Time, gage.Choice, gage.Result, time.Duration) {}

func (f *fakeFleet) Forward(_ context.Context, _ gage.Choice, c gage.Call) gage.Result {
	f.forwarded = append(f.forwarded, c)
	return f.answer(c)
}

func arrival(method, path, apiKey string) entry.Arrival {
	return entry.Arrival{Key: apiKey, Method: method, Path: path, MatchPath: path}
}

func TestServeRefuses(t *testing.T) {
	cases := []struct {
		name    string
		arrival entry.Arrival
		setUp   func(f *fakeFleet)
		want    gage.Reason
	}{
		{"no key", arrival("GET", "/search/x", ""), nil, gage.ReasonNoKey},
		{"unknown key", arrival("GET", "/search/x", "nobody"), nil, gage.ReasonUnknownKey},
		{"no route", arrival("GET", "/nothing", key), nil, gage.ReasonNoRoute},
		{"internal route", arrival("POST", "/inside", key), nil, gage.ReasonNoRoute},
		{"key in the path", arrival("GET", "/search/"+key, key), nil, gage.ReasonBadRequest},
		{"key in the query of an open route", entry.Arrival{Method: "GET", Path: "/open?key=" + otherKey, MatchPath: "/open"}, nil, gage.ReasonBadRequest},
		{"escaped key", entry.Arrival{Method: "GET", Path: "/open?key=the%2Dkey-of-casa-sur", MatchPath: "/open"}, nil, gage.ReasonBadRequest},
		{"another workspace's key in a header", entry.Arrival{Key: key, Method: "GET", Path: "/search", MatchPath: "/search", Header: []gage.Header{{Name: "X-Api-Key", Value: otherKey}}}, nil, gage.ReasonBadRequest},
		{"key in the body", entry.Arrival{Key: key, Method: "POST", Path: "/custody/lodge", MatchPath: "/custody/lodge", Body: []byte(`{"k":"` + key + `"}`)}, nil, gage.ReasonBadRequest},
		{"key in the path of an open route", entry.Arrival{Method: "GET", Path: "/open/" + otherKey, MatchPath: "/open"}, nil, gage.ReasonBadRequest},
		{"key in the body of an open route", entry.Arrival{Method: "GET", Path: "/open", MatchPath: "/open", Body: []byte(`{"k":"` + otherKey + `"}`)}, nil, gage.ReasonBadRequest},
		{"key in the user agent", entry.Arrival{Method: "GET", Path: "/open", MatchPath: "/open", Header: []gage.Header{{Name: "User-Agent", Value: "client/" + otherKey}}}, nil, gage.ReasonBadRequest},
		{"key in a header's name", entry.Arrival{Key: key, Method: "GET", Path: "/search", MatchPath: "/search", Header: []gage.Header{{Name: "X-The-Key-Of-Casa-Norte", Value: "1"}}}, nil, gage.ReasonBadRequest},
		{"over rate", arrival("GET", "/search", key), func(f *fakeFleet) { f.grant = gage.Grant{Reason: gage.ReasonOverRate} }, gage.ReasonOverRate},
		{"outdated configuration", arrival("GET", "/search", key), func(f *fakeFleet) { f.isFresh = false }, gage.ReasonNoConfig},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFakeFleet()
			if c.setUp != nil {
				c.setUp(f)
			}
			answer := f.entry.Serve(context.Background(), c.arrival)
			assert.Equal(t, answer.Outcome, gage.OutcomeNotRun)
			assert.Equal(t, answer.Reason, c.want)
			assert.Equal(t, len(f.forwarded), 0)
		})
	}
}

func TestServeRunsForTheKeysWorkspace(t *testing.T) {
	f := newFakeFleet()
	answer := f.entry.Serve(context.Background(), arrival("GET", "/search/x", otherKey))
	assert.Equal(t, answer.Outcome, gage.OutcomeRan)
	assert.Equal(t, f.forwarded[0].Workspace, "casa-sur")
	assert.DeepEqual(t, f.quotaTakes, []string{"casa-sur"})
}

func TestOpenRouteTakesNoQuota(t *testing.T) {
	f := newFakeFleet()
	answer := f.entry.Serve(context.Background(), arrival("GET", "/open/x", ""))
	assert.Equal(t, answer.Outcome, gage.OutcomeRan)
	assert.Equal(t, len(f.quotaTakes), 0)
	assert.Equal(t, f.forwarded[0].Workspace, "")
}

func TestUnknownOutcomeIsRetriedOnlyWhenIdempotent(t *testing.T) {
	cases := []struct {
		name         string
		arrival      entry.Arrival
		wantAttempts int
	}{
		{"lookup", arrival("GET", "/search/x", key), 3},
		{"lodging", arrival("POST", "/custody/lodge", key), 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFakeFleet()
			f.answer = func(c gage.Call) gage.Result {
				return gage.Result{Outcome: gage.OutcomeUnknown, Reason: gage.ReasonPeerFailed, RetryBudget: c.RetryBudget}
			}
			answer := f.entry.Serve(context.Background(), c.arrival)
			assert.Equal(t, answer.Outcome, gage.OutcomeUnknown)
			assert.Equal(t, len(f.forwarded), c.wantAttempts)
			assert.Equal(t, len(f.quotaTakes), c.wantAttempts, "each attempt takes quota")
		})
	}
}

func TestRefusalAfterALostAttemptIsUnknown(t *testing.T) {
	f := newFakeFleet()
	f.answer = func(c gage.Call) gage.Result {
		if c.Attempt == 1 {
			return gage.Result{Outcome: gage.OutcomeUnknown, Reason: gage.ReasonPeerFailed, RetryBudget: c.RetryBudget}
		}
		return gage.Result{Outcome: gage.OutcomeNotRun, Reason: gage.ReasonOverload}
	}
	answer := f.entry.Serve(context.Background(), arrival("GET", "/search/x", key))
	assert.Assert(t, len(f.forwarded) > 1)
	assert.Equal(t, answer.Outcome, gage.OutcomeUnknown)
}

func TestExpiredGrantIsRenewed(t *testing.T) {
	const grantValidity = 100 * time.Millisecond
	cases := []struct {
		name   string
		path   string
		method string
		reason gage.Reason
		want   gage.Outcome
	}{
		{"stale", "/search/x", "GET", gage.ReasonStaleDecision, gage.OutcomeRan},
		{"expired in a queue", "/custody/lodge", "POST", gage.ReasonOverload, gage.OutcomeRan},
		{"expired in a cold target's queue", "/custody/lodge", "POST", gage.ReasonColdStart, gage.OutcomeRan},
		{"expired in a queue, not critical", "/search/x", "GET", gage.ReasonOverload, gage.OutcomeNotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFakeFleet()
			f.answer = func(call gage.Call) gage.Result {
				if call.Attempt > 1 {
					return gage.Result{Outcome: gage.OutcomeRan, Status: http.StatusOK, RetryBudget: call.RetryBudget}
				}
				f.now = call.AdmitBy.Add(time.Millisecond)
				f.grant.AdmitBy = f.now.Add(grantValidity)
				return gage.Result{Outcome: gage.OutcomeNotRun, Reason: c.reason, Target: "t"}
			}
			f.grant.AdmitBy = f.now.Add(grantValidity)
			answer := f.entry.Serve(context.Background(), arrival(c.method, c.path, key))
			assert.Equal(t, answer.Outcome, c.want)
			if c.want == gage.OutcomeRan {
				assert.Equal(t, len(f.quotaTakes), 2)
				assert.Equal(t, f.forwarded[1].AdmitBy, f.now.Add(grantValidity))
			}
		})
	}
}

// The grants are valid for 50 ms, and the target's slots are in use for longer,
// as in a burst. A critical call must renew its grant until it gets a slot.
func TestCriticalCallRenewsGrantRepeatedly(t *testing.T) {
	const grantValidity, expiries = 50 * time.Millisecond, 6
	for path, want := range map[string]gage.Outcome{"/custody/lodge": gage.OutcomeRan, "/search/x": gage.OutcomeNotRun} {
		f := newFakeFleet()
		f.answer = func(call gage.Call) gage.Result {
			if call.Attempt > expiries {
				return gage.Result{Outcome: gage.OutcomeRan, Status: http.StatusOK, RetryBudget: call.RetryBudget}
			}
			f.now = call.AdmitBy.Add(time.Millisecond)
			f.grant.AdmitBy = f.now.Add(grantValidity)
			return gage.Result{Outcome: gage.OutcomeNotRun, Reason: gage.ReasonStaleDecision, Target: "t"}
		}
		f.grant.AdmitBy = f.now.Add(grantValidity)
		method := http.MethodPost
		if path != "/custody/lodge" {
			method = http.MethodGet
		}
		answer := f.entry.Serve(context.Background(), arrival(method, path, key))
		assert.Equal(t, answer.Outcome, want, path)
	}
}

func TestQuotaIsRetriedUntilHolderAnswers(t *testing.T) {
	for quotaFailures, want := range map[int]gage.Outcome{0: gage.OutcomeRan, 5: gage.OutcomeRan, 6: gage.OutcomeNotRun} {
		f := newFakeFleet()
		f.quotaFailures = quotaFailures
		answer := f.entry.Serve(context.Background(), arrival("POST", "/custody/lodge", key))
		assert.Equal(t, answer.Outcome, want, "%d unanswered requests for quota", quotaFailures)
	}
}

func TestDuplicateIdempotencyKeyIsNotForwarded(t *testing.T) {
	for _, claim := range []gage.Claim{
		{Outcome: gage.OutcomeRan, Reason: gage.ReasonDuplicate},
		{Outcome: gage.OutcomeUnknown, Reason: gage.ReasonDuplicateUnknown},
		{Outcome: gage.OutcomeNotRun, Reason: gage.ReasonPeerFailed},
	} {
		f := newFakeFleet()
		f.claim = claim
		a := arrival("POST", "/custody/lodge", key)
		a.IdempotencyKey = "k"
		answer := f.entry.Serve(context.Background(), a)
		assert.Equal(t, answer.Outcome, claim.Outcome)
		assert.Equal(t, len(f.forwarded), 0)
		assert.Equal(t, len(f.settled), 0)
	}
}

func TestClaimIsSettledWithTheResult(t *testing.T) {
	f := newFakeFleet()
	a := arrival("POST", "/custody/lodge", key)
	a.IdempotencyKey = "k"
	f.entry.Serve(context.Background(), a)
	assert.Equal(t, len(f.settled), 1)
	assert.Equal(t, f.settled[0].Outcome, gage.OutcomeRan)
}

func TestNestedCallInheritsFromParent(t *testing.T) {
	f := newFakeFleet()
	parent := gage.Call{
		RequestID: "a1.p", RootID: "a1.r", Depth: 2, Workspace: "casa-norte", Importance: gage.ImportanceCritical,
		Deadline: f.now.Add(300 * time.Millisecond), RetryBudget: 1,
	}
	token, _ := f.activeCalls.Begin(parent, "t")
	answer := f.entry.ServeNested(context.Background(), token, arrival("POST", "/inside", ""))
	assert.Equal(t, answer.Outcome, gage.OutcomeRan)
	call := f.forwarded[0]
	assert.Equal(t, call.RootID, "a1.r")
	assert.Equal(t, call.Depth, 3)
	assert.Equal(t, call.Workspace, "casa-norte")
	assert.Equal(t, call.Importance, gage.ImportanceCritical)
	assert.Equal(t, call.Deadline, parent.Deadline)
	assert.Equal(t, call.RetryBudget, 1)
	assert.Equal(t, len(f.quotaTakes), 0)

	f.activeCalls.End(token)
	answer = f.entry.ServeNested(context.Background(), token, arrival("POST", "/inside", ""))
	assert.Equal(t, answer.Reason, gage.ReasonBadToken)
}

func TestNonIdempotentNestedCallOfRetryIsRefused(t *testing.T) {
	f := newFakeFleet()
	parent := gage.Call{RootID: "a1.r", Depth: 1, Workspace: "casa-norte", AfterUnknownOutcome: true, Deadline: f.now.Add(time.Second)}
	token, _ := f.activeCalls.Begin(parent, "t")
	answer := f.entry.ServeNested(context.Background(), token, arrival("POST", "/inside", ""))
	assert.Equal(t, answer.Outcome, gage.OutcomeNotRun)
	assert.Equal(t, answer.Reason, gage.ReasonRetryNotRepeating)
}
