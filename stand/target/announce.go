package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"
)

// announceTimeout limits each request to the node.
const announceTimeout = 2 * time.Second

// announcement is the body of PUT /v1/targets/{Name}, which registers the target
// at the node and renews its registration.
type announcement struct {
	Service      string
	Address      string
	Incarnation  uint64
	CapacityHint int
	TTLMillis    int64
}

// announcer registers the target at the node on its VM, keeps the registration
// alive, drains it and removes it.
type announcer struct {
	opts   *Options
	client *http.Client
	logger *zap.Logger
}

// run announces the target at once and then three times within each TTL, until
// ctx is canceled. Failed announcements are logged and retried at the next tick.
func (a *announcer) run(ctx context.Context) {
	ticker := time.NewTicker(a.opts.TTL / 3)
	defer ticker.Stop()
	for {
		if err := a.announce(ctx); err != nil && ctx.Err() == nil {
			a.logger.Warn("AnnounceFailed", zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *announcer) announce(ctx context.Context) error {
	body, err := json.Marshal(announcement{
		Service:      a.opts.Service,
		Address:      a.opts.Listen,
		Incarnation:  a.opts.Incarnation,
		CapacityHint: a.opts.Slots,
		TTLMillis:    a.opts.TTL.Milliseconds(),
	})
	if err != nil {
		return err
	}
	return a.send(ctx, http.MethodPut, "", body)
}

// drain asks the node to send the target no further requests.
func (a *announcer) drain(ctx context.Context) error {
	return a.send(ctx, http.MethodPost, "/drain", nil)
}

// deregister removes the target from the node.
func (a *announcer) deregister(ctx context.Context) error {
	return a.send(ctx, http.MethodDelete, "", nil)
}

// send sends a request to the endpoint of the target at the node. It returns an
// error for any status other than 2xx.
func (a *announcer) send(ctx context.Context, method, suffix string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	endpoint := strings.TrimSuffix(a.opts.Node, "/") + "/v1/targets/" + a.opts.Name + suffix
	req, err := http.NewRequestWithContext(ctx, method, endpoint, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	detail, err := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s: %s: %s", method, endpoint, resp.Status, detail)
	}
	return nil
}
