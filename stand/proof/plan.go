package proof

import (
	"net/http"
	"time"

	"github.com/greengagewind/greengagewind/stand/load"
	"github.com/greengagewind/greengagewind/stand/score"
)

const maxInFlight = 2000

var (
	searchRequest = load.Request{Name: "search", Method: http.MethodGet, Path: "/search/capsules", Weight: 1, Idempotent: true}
	datesRequest  = load.Request{Name: "dates", Method: http.MethodGet, Path: "/calendar/dates", Weight: 1, Idempotent: true}
	lodgeRequest  = load.Request{Name: "lodge", Method: http.MethodPost, Path: "/custody/lodge", Weight: 1}
	bookRequest   = load.Request{Name: "book", Method: http.MethodPost, Path: "/ceremonies/book", Weight: 1}
)

// withCopies returns a request that is sent in several copies with the same ID
// at the same time, each through another node.
func withCopies(request load.Request, copies int) load.Request {
	request.Copies = copies
	return request
}

func workspaceLoad(workspace string, rate float64, mix ...load.Request) load.Workspace {
	return load.Workspace{Name: workspace, Rate: rate, Request: mix}
}

// steadyPlan returns a plan with one phase of constant load.
func steadyPlan(length, timeout time.Duration, workspaces ...load.Workspace) *load.Plan {
	return &load.Plan{
		Deployment: deployment, Timeout: load.Duration(timeout), MaxInFlight: maxInFlight,
		Workspace: workspaces,
		Phase: []load.Phase{{
			Name: "Steady", Role: score.RolePlain, Duration: load.Duration(length), Factor: 1,
		}},
	}
}
