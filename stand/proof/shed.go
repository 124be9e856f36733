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
	// shedTime gives the target 80 runs a second.
	shedTime   = 100 * time.Millisecond
	shedWindow = time.Second
	// maxExplained bounds the requests that the nodes are asked about.
	maxExplained = 20
)

var view = load.Request{Name: "view", Method: http.MethodGet, Path: "/custody/view", Weight: 1, Idempotent: true}

// shedLast sends three times what the only target of a service bears: lodgings
// for half of it, and lookups of low importance for the rest.
func shedLast() Scenario {
	return Scenario{
		Point: "ShedLast",
		Prepare: func(b *Bench) {
			b.Config.Add("Route", map[string]any{
				"Name": "view", "Method": http.MethodGet, "PathPrefix": view.Path, "Service": "custody",
				"Importance": "Low", "Idempotent": true, "Deadline": "2s",
			})
			b.Config.Set("Service", "custody", "MaxConcurrency", shedSlots)
			b.Config.Set("Service", "custody", "ColdConcurrency", shedSlots)
			for _, name := range []string{"custody-2", "custody-3"} {
				b.Config.Add("Target", map[string]any{"Name": name, "InService": false})
			}
			b.eachTarget("custody", func(t *fleet.Target) {
				t.Slots, t.ColdSlots, t.ServiceTime = shedSlots, shedSlots, fleet.Duration(shedTime)
			})
		},
		Run: func(ctx context.Context, b *Bench) error {
			err := b.Send(ctx, steady(15*time.Second, 2*time.Second,
				callers("casa-austral", 20, lodge), callers("casa-pampa", 100, view),
				callers("casa-rioplata", 20, lodge), callers("familias", 50, view), callers("archivo", 30, view),
				callers("escuelas", 20, view),
			), 0)
			return errors.Join(err, b.explainShed(ctx))
		},
		Judge: judgeShed,
	}
}

// explainShed writes what the nodes say of the first lodgings that were shed.
func (b *Bench) explainShed(ctx context.Context) error {
	all, err := record.ReadSent(b.loadLog())
	if err != nil {
		return err
	}
	file, err := os.Create(filepath.Join(b.dir, "explained.jsonl"))
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	explained := 0
	for _, sent := range all {
		if sent.Path != lodge.Path || !shed(sent) || explained == maxExplained {
			continue
		}
		explained++
		for _, m := range b.Fleet.VMs {
			said, err := m.Explain(ctx, sent.RequestID)
			if err == nil && len(said.Events) > 0 {
				err = json.NewEncoder(file).Encode(said)
			}
			if err != nil {
				return err
			}
		}
	}
	return nil
}

func judgeShed(in check.Input) Result {
	low := make(map[int64]int)
	for _, run := range in.Runs {
		if run.Target == shedTarget && run.Path == view.Path {
			low[run.StartMicros/shedWindow.Microseconds()]++
		}
	}
	result := judge(check.NotRun(in))
	counts := make(map[string]int)
	refusedHigh, beside := 0, 0
	for _, sent := range in.Sent {
		kind := sent.Route
		counts[kind]++
		if sent.Whole {
			counts[kind+" whole"]++
		}
		if !shed(sent) {
			continue
		}
		counts[kind+" shed"]++
		if sent.Path != lodge.Path {
			continue
		}
		refusedHigh++
		if low[sent.ReceivedMicros/shedWindow.Microseconds()] > 0 {
			beside++
			result.fail("%s was refused as %s while %s ran %d lookups in the same second", sent.ID, sent.Reason,
				shedTarget, low[sent.ReceivedMicros/shedWindow.Microseconds()])
		}
	}
	result.hold(counts["view shed"] > 0, "nothing was shed")
	result.Figure = fmt.Sprintf("lodgings %d, whole %d, shed %d (%d beside a lookup); lookups %d, whole %d, shed %d",
		counts["lodge"], counts["lodge whole"], refusedHigh, beside, counts["view"], counts["view whole"], counts["view shed"])
	return result
}

// shed tells whether an attempt was refused for the load on its target.
func shed(sent record.Sent) bool {
	if sent.Outcome != string(gage.OutcomeNotRun) {
		return false
	}
	switch gage.Reason(sent.Reason) {
	case gage.ReasonOverRate, gage.ReasonQuotaUnavailable, gage.ReasonNoConfig:
		return false
	}
	return sent.Status != 0
}
