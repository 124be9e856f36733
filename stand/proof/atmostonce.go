package proof

import (
	"context"
	"fmt"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/stand/check"
)

const (
	nodeFaultPlanLength    = 24 * time.Second
	nodeFaultCallerTimeout = 5 * time.Second
	nodeFaultCallerRetries = 4
)

// atMostOnce sends bookings in several copies through different nodes, and
// retries them after failures, while nodes are killed and frozen. No
// non-idempotent request may run twice.
func atMostOnce() Scenario {
	return Scenario{
		Point: "AtMostOnce",
		Run: func(ctx context.Context, h *Harness) error {
			plan := steadyPlan(nodeFaultPlanLength, nodeFaultCallerTimeout,
				workspaceLoad("casa-austral", 30, withCopies(lodgeRequest, 2), withCopies(bookRequest, 1)),
				workspaceLoad("casa-pampa", 20, withCopies(bookRequest, 2), searchRequest),
			)
			return h.During(ctx, plan, nodeFaultCallerRetries, h.injectNodeFaults)
		},
		Judge: func(in check.Input) Result {
			once := check.Once(in)
			result := judge(once)
			result.Figure = fmt.Sprintf("%d non-idempotent runs, %d of them repeated; %s",
				once.Checked, once.Violations, outcomeSummary(in))
			return result
		},
	}
}

// notRunIsTrue checks, under the same faults as atMostOnce, that no request ran
// that was refused with the outcome NotRun.
func notRunIsTrue() Scenario {
	return Scenario{
		Point: "NotRunIsTrue",
		Run: func(ctx context.Context, h *Harness) error {
			plan := steadyPlan(nodeFaultPlanLength, nodeFaultCallerTimeout,
				workspaceLoad("casa-austral", 60, lodgeRequest, bookRequest, searchRequest),
				workspaceLoad("notarias", 60, lodgeRequest, bookRequest, datesRequest),
			)
			return h.During(ctx, plan, 0, h.injectNodeFaults)
		},
		Judge: func(in check.Input) Result {
			finding := check.NotRun(in)
			result := judge(finding)
			result.Figure = fmt.Sprintf("%d refusals, %d of them ran; %s",
				finding.Checked, finding.Violations, outcomeSummary(in))
			return result
		},
	}
}

// outcomeSummary describes how many requests were answered completely and how
// many attempts have an unknown outcome.
func outcomeSummary(in check.Input) string {
	answered, unknown := make(map[string]bool), 0
	ids := make(map[string]bool)
	for _, sent := range in.Sent {
		ids[sent.ID] = true
		if sent.Whole {
			answered[sent.ID] = true
		}
		if sent.Outcome == string(gage.OutcomeUnknown) {
			unknown++
		}
	}
	return fmt.Sprintf("%d of %d requests answered, %d attempts with unknown outcome", len(answered), len(ids), unknown)
}
