package proof

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/stand/check"
	"github.com/greengagewind/greengagewind/stand/fleet"
	"github.com/greengagewind/greengagewind/stand/load"
	"github.com/greengagewind/greengagewind/stand/record"
)

const (
	shedTarget = "custody-1"
	shedSlots  = 8
	// shedServiceTime lets the 8 slots complete 80 runs per second.
	shedServiceTime = 100 * time.Millisecond
	shedWindow      = time.Second
	// maxExplained is the maximum number of shed requests for which the nodes are
	// queried for an explanation.
	maxExplained = 20
)

var viewRequest = load.Request{Name: "view", Method: http.MethodGet, Path: "/custody/view", Weight: 1, Idempotent: true}

// shedLast sends three times the capacity of the only target of a service: lodge
// requests for half the capacity, and view requests of low importance for the
// rest. No lodge request may be shed while view requests run.
func shedLast() Scenario {
	return Scenario{
		Point: "ShedLast",
		Prepare: func(h *Harness) {
			h.Config.Add("Route", map[string]any{
				"Name": "view", "Method": http.MethodGet, "PathPrefix": viewRequest.Path, "Service": "custody",
				"Importance": "Low", "Idempotent": true, "Deadline": "2s",
			})
			h.Config.Set("Service", "custody", "MaxConcurrency", shedSlots)
			h.Config.Set("Service", "custody", "ColdConcurrency", shedSlots)
			for _, name := range []string{"custody-2", "custody-3"} {
				h.Config.Add("Target", map[string]any{"Name": name, "InService": false})
			}
			h.changeTargets("custody", func(t *fleet.Target) {
				t.Slots, t.ColdSlots, t.ServiceTime = shedSlots, shedSlots, fleet.Duration(shedServiceTime)
			})
		},
		Run: func(ctx context.Context, h *Harness) error {
			err := h.Send(ctx, steadyPlan(15*time.Second, 2*time.Second,
				workspaceLoad("casa-austral", 20, lodgeRequest), workspaceLoad("casa-pampa", 100, viewRequest),
				workspaceLoad("casa-rioplata", 20, lodgeRequest), workspaceLoad("familias", 50, viewRequest), workspaceLoad("archivo", 30, viewRequest),
				workspaceLoad("escuelas", 20, viewRequest),
			), 0)
			return errors.Join(err, h.writeShedExplanations(ctx))
		},
		Judge: judgeShed,
	}
}

// writeShedExplanations writes the explanations that the nodes give for the
// first lodge requests that were shed.
func (h *Harness) writeShedExplanations(ctx context.Context) error {
	attempts, err := record.ReadSent(h.loadLog())
	if err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(h.dir, "explained.jsonl"))
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	explained := 0
	for _, sent := range attempts {
		if sent.Path != lodgeRequest.Path || !isShed(sent) || explained == maxExplained {
			continue
		}
		explained++
		for _, m := range h.Fleet.VMs {
			explanation, err := m.Explain(ctx, sent.RequestID)
			if err == nil && len(explanation.Events) > 0 {
				err = json.NewEncoder(file).Encode(explanation)
			}
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// judgeShed fails for each lodge request that was shed in the same second in
// which view requests began to run at the target.
func judgeShed(in check.Input) Result {
	viewRuns := make(map[int64]int)
	for _, run := range in.Runs {
		if run.Target == shedTarget && run.Path == viewRequest.Path {
			viewRuns[run.StartMicros/shedWindow.Microseconds()]++
		}
	}
	result := judge(check.NotRun(in))
	counts := make(map[string]int)
	lodgeShed, shedWhileViewing := 0, 0
	for _, sent := range in.Sent {
		route := sent.Route
		counts[route]++
		if sent.Whole {
			counts[route+" whole"]++
		}
		if !isShed(sent) {
			continue
		}
		counts[route+" shed"]++
		if sent.Path != lodgeRequest.Path {
			continue
		}
		lodgeShed++
		if viewRuns[sent.ReceivedMicros/shedWindow.Microseconds()] > 0 {
			shedWhileViewing++
			result.fail("%s was refused as %s while %s ran %d view requests in the same second", sent.ID, sent.Reason,
				shedTarget, viewRuns[sent.ReceivedMicros/shedWindow.Microseconds()])
		}
	}
	result.require(counts["view shed"] > 0, "nothing was shed")
	result.Figure = fmt.Sprintf("lodge requests %d, answered %d, shed %d (%d while view requests ran); view requests %d, answered %d, shed %d",
		counts["lodge"], counts["lodge whole"], lodgeShed, shedWhileViewing, counts["view"], counts["view whole"], counts["view shed"])
	return result
}

// isShed reports whether an attempt was refused because of load: the outcome is
// NotRun, a node answered, and the reason is neither a quota nor a missing
// configuration.
func isShed(sent record.Sent) bool {
	if sent.Outcome != string(gage.OutcomeNotRun) {
		return false
	}
	switch gage.Reason(sent.Reason) {
	case gage.ReasonOverRate, gage.ReasonQuotaUnavailable, gage.ReasonNoConfig:
		return false
	}
	return sent.Status != 0
}
