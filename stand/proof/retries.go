package proof

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/greengagewind/greengagewind/stand/check"
	"github.com/greengagewind/greengagewind/stand/fleet"
	"github.com/greengagewind/greengagewind/stand/load"
	"github.com/greengagewind/greengagewind/stand/record"
)

const (
	// retryBudget is the maximum number of retries that all nodes of a call
	// chain together may add to one attempt of the caller.
	retryBudget   = 2
	callerRetries = 5
	leafPrefix    = "/search/leaf/"
	chainDeadline = 5 * time.Second
)

// chainDepths are the numbers of services in the call chains, including the
// leaf.
var chainDepths = []int{3, 5, 17}

// leafFaults are the faults of the leaf targets, assigned in turn: an error
// answer, and a truncated answer, after which an idempotent call may be retried.
var leafFaults = []string{"fail", "truncate"}

// retriesBounded sends requests to call chains whose leaf always fails, while
// callers retry up to callerRetries times. The runs at the leaf must stay within
// the retry budget of each attempt.
func retriesBounded() Scenario {
	return Scenario{
		Point:   "RetriesBounded",
		Prepare: prepareChains,
		Run: func(ctx context.Context, h *Harness) error {
			for i, target := range h.Fleet.Targets("search") {
				if err := target.SetFault(ctx, leafFaults[i%len(leafFaults)], fleet.Fault{Share: 1}); err != nil {
					return err
				}
			}
			var mix []load.Request
			for _, depth := range chainDepths {
				path := fmt.Sprintf("/ceremonies/chain/%d", depth)
				mix = append(mix,
					load.Request{Name: "look", Method: http.MethodGet, Path: path, Weight: 1, Idempotent: true},
					load.Request{Name: "make", Method: http.MethodPost, Path: path, Weight: 1},
				)
			}
			return h.Send(ctx, steadyPlan(10*time.Second, chainDeadline, workspaceLoad("casa-austral", 20, mix...)), callerRetries)
		},
		Judge: func(in check.Input) Result {
			result := judge(check.Once(in))
			attempts, leafRuns := countAttempts(in)
			worstRatio := make(map[string]float64)
			mostRuns := make(map[string]int)
			for request, callerAttempts := range attempts {
				method, path, _ := strings.Cut(request.methodAndPath, " ")
				kind := method + " depth " + path[strings.LastIndex(path, "/")+1:]
				worstRatio[kind] = max(worstRatio[kind], float64(leafRuns[request])/float64(callerAttempts))
				mostRuns[kind] = max(mostRuns[kind], leafRuns[request])
				result.require(leafRuns[request] <= callerAttempts*(1+retryBudget), "%s: %d caller attempts, %d leaf runs", request.id, callerAttempts, leafRuns[request])
			}
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				for _, depth := range chainDepths {
					kind := fmt.Sprintf("%s depth %d", method, depth)
					result.require(mostRuns[kind] > 0, "%s never reached the leaf", kind)
					result.Figure += fmt.Sprintf("%s: %.2f; ", kind, worstRatio[kind])
				}
			}
			result.Figure = fmt.Sprintf("most leaf runs per caller attempt, %d allowed: %s%d requests",
				1+retryBudget, result.Figure, len(attempts))
			return result
		},
	}
}

// prepareChains adds the routes and nested calls of the chains. A chain begins
// at ceremonies, alternates between calendar and custody, and ends at the leaf
// in search.
func prepareChains(h *Harness) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		h.addRoute(method, "/ceremonies/chain", "ceremonies", false)
		h.addRoute(method, "/calendar/hop", "calendar", true)
		h.addRoute(method, "/custody/hop", "custody", true)
		h.addRoute(method, leafPrefix[:len(leafPrefix)-1], "search", true)
	}
	for _, depth := range chainDepths {
		for hop := 1; hop < depth; hop++ {
			service, path := chainHop(depth, hop)
			_, next := chainHop(depth, hop+1)
			h.changeTargets(service, func(t *fleet.Target) {
				for _, method := range []string{http.MethodGet, http.MethodPost} {
					t.Call = append(t.Call, method+" "+path+"="+method+" "+next)
				}
			})
		}
	}
}

func chainHop(depth, hop int) (service, path string) {
	switch {
	case hop == 1:
		return "ceremonies", fmt.Sprintf("/ceremonies/chain/%d", depth)
	case hop == depth:
		return "search", fmt.Sprintf("%s%d", leafPrefix, depth)
	case hop%2 == 0:
		service = "calendar"
	default:
		service = "custody"
	}
	return service, fmt.Sprintf("/%s/hop/%d/%d", service, depth, hop)
}

func (h *Harness) addRoute(method, prefix, service string, internal bool) {
	name := strings.ToLower(method) + strings.ReplaceAll(prefix, "/", "-")
	h.Config.Add("Route", map[string]any{
		"Name": name, "Method": method, "PathPrefix": prefix, "Service": service, "Importance": "Normal",
		"Idempotent": method == http.MethodGet, "Internal": internal, "Deadline": chainDeadline.String(),
	})
}

// chainRequest identifies one caller's request to a chain.
type chainRequest struct {
	id string
	// methodAndPath has the form "METHOD PATH".
	methodAndPath string
}

// countAttempts returns, for each caller's request, the number of attempts that
// the caller sent and the number of runs at the leaf.
func countAttempts(in check.Input) (attempts, leafRuns map[chainRequest]int) {
	attempts, leafRuns = make(map[chainRequest]int), make(map[chainRequest]int)
	requests := make(map[string]chainRequest)
	for _, sent := range in.Sent {
		if sent.Status == 0 && sent.Outcome == record.OutcomeNotSent {
			continue
		}
		request := chainRequest{id: sent.ID, methodAndPath: sent.Method + " " + sent.Path}
		requests[sent.ID] = request
		attempts[request]++
	}
	for _, run := range in.Runs {
		if strings.HasPrefix(run.Path, leafPrefix) {
			leafRuns[requests[run.ID]]++
		}
	}
	return attempts, leafRuns
}
