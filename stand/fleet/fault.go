package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// Fault is the body of a call to a target's control interface. Each path of that
// interface reads only some of the fields.
type Fault struct {
	// Factor multiplies the service time.
	Factor float64
	// Share is the fraction of requests with the fault, from 0 to 1.
	Share float64
	// Seconds is how long the target is cold.
	Seconds float64
	// Healthy and Load are the values that the health endpoint then reports,
	// whatever the actual state.
	Healthy bool
	Load    float64
}

// SetFault posts body to a path of the target's control interface, such as
// "slow" or "cold".
func (t *RunningTarget) SetFault(ctx context.Context, fault string, body Fault) error {
	if err := post(ctx, t.ControlURL+"/"+fault, body); err != nil {
		return fmt.Errorf("set fault of target %s: %w", t.Name, err)
	}
	return nil
}

// StoreFault is the body of the call that injects a fault into the store.
type StoreFault struct {
	// Mode is None, Down, Slow or LoseAnswers.
	Mode string
	// DelayMillis is how long each affected call waits in mode Slow.
	DelayMillis int
	// Share is the fraction of calls with the fault; 0 means all calls.
	Share float64
}

// SetStoreFault replaces the fault of the store; mode None ends it.
func (f *Fleet) SetStoreFault(ctx context.Context, fault StoreFault) error {
	if err := post(ctx, f.StoreControlURL+"/fault", fault); err != nil {
		return fmt.Errorf("set fault of the store: %w", err)
	}
	return nil
}

func post(ctx context.Context, url string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("status %s", resp.Status)
	}
	return nil
}
