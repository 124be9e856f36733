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
	// retryBudget is how many retries the nodes may add to one request of a
	// caller, over all hops together.
	retryBudget   = 2
	hardRetries   = 5
	leafPrefix    = "/search/leaf/"
	chainDeadline = 5 * time.Second
)

// chainDepths are the lengths of the chains, the leaf included.
var chainDepths = []int{3, 5, 17}

// leafFaults are how the targets of the leaf fail in turn: with an answer that
// says so, and with an answer that breaks off, which an idempotent call may
// repeat.
var leafFaults = []string{"fail", "truncate"}

// retriesBounded lets the leaf of chains of calls fail every time while callers
// retry hard.
func retriesBounded() Scenario {
	return Scenario{
		Point:   "RetriesBounded",
		Prepare: prepareChains,
		Run: func(ctx context.Context, b *Bench) error {
			for number, back := range b.Fleet.Targets("search") {
				if err := back.SetFault(ctx, leafFaults[number%len(leafFaults)], fleet.Fault{Share: 1}); err != nil {
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
			return b.Send(ctx, steady(10*time.Second, chainDeadline, callers("casa-austral", 20, mix...)), hardRetries)
		},
		Judge: func(in check.Input) Result {
			result := judge(check.Once(in))
			attempts, leaves := attemptsAndLeaves(in)
			worst := make(map[string]float64)
			most := make(map[string]int)
			for key, tries := range attempts {
				method, path, _ := strings.Cut(key.path, " ")
				kind := method + " depth " + path[strings.LastIndex(path, "/")+1:]
				worst[kind] = max(worst[kind], float64(leaves[key])/float64(tries))
				most[kind] = max(most[kind], leaves[key])
				result.hold(leaves[key] <= tries*(1+retryBudget), "%s: %d attempts of the caller, %d at the leaf", key.id, tries, leaves[key])
			}
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				for _, depth := range chainDepths {
					kind := fmt.Sprintf("%s depth %d", method, depth)
					result.hold(most[kind] > 0, "%s never reached the leaf", kind)
					result.Figure += fmt.Sprintf("%s: %.2f; ", kind, worst[kind])
				}
			}
			result.Figure = fmt.Sprintf("most attempts at the leaf for one of the caller's, of %d allowed: %s%d requests",
				1+retryBudget, result.Figure, len(attempts))
			return result
		},
	}
}

// prepareChains adds routes and nested calls from ceremonies over calendar and
// custody, again and again, to the leaf at search.
func prepareChains(b *Bench) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		b.addRoute(method, "/ceremonies/chain", "ceremonies", false)
		b.addRoute(method, "/calendar/hop", "calendar", true)
		b.addRoute(method, "/custody/hop", "custody", true)
		b.addRoute(method, leafPrefix[:len(leafPrefix)-1], "search", true)
	}
	for _, depth := range chainDepths {
		for hop := 1; hop < depth; hop++ {
			service, path := hopOf(depth, hop)
			_, next := hopOf(depth, hop+1)
			b.eachTarget(service, func(t *fleet.Target) {
				for _, method := range []string{http.MethodGet, http.MethodPost} {
					t.Call = append(t.Call, method+" "+path+"="+method+" "+next)
				}
			})
		}
	}
}

func hopOf(depth, hop int) (service, path string) {
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

func (b *Bench) addRoute(method, prefix, service string, internal bool) {
	name := strings.ToLower(method) + strings.ReplaceAll(prefix, "/", "-")
	b.Config.Add("Route", map[string]any{
		"Name": name, "Method": method, "PathPrefix": prefix, "Service": service, "Importance": "Normal",
		"Idempotent": method == http.MethodGet, "Internal": internal, "Deadline": chainDeadline.String(),
	})
}

// chainKey is one caller's request.
type chainKey struct {
	id   string
	path string
}

// attemptsAndLeaves counts for each request the caller's attempts that reached
// a node and the runs at the leaf.
func attemptsAndLeaves(in check.Input) (attempts, leaves map[chainKey]int) {
	attempts, leaves = make(map[chainKey]int), make(map[chainKey]int)
	known := make(map[string]chainKey)
	for _, sent := range in.Sent {
		if sent.Status == 0 && sent.Outcome == record.OutcomeNotSent {
			continue
		}
		key := chainKey{id: sent.ID, path: sent.Method + " " + sent.Path}
		known[sent.ID] = key
		attempts[key]++
	}
	for _, run := range in.Runs {
		if strings.HasPrefix(run.Path, leafPrefix) {
			leaves[known[run.ID]]++
		}
	}
	return attempts, leaves
}
