package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/greengagewind/greengagewind/gage/protocol/header"
)

const (
	readyTimeout = 30 * time.Second
	readyPoll    = 100 * time.Millisecond
	probeTimeout = 2 * time.Second
)

// Probe is a GET request that succeeds when a service is reachable through a node.
type Probe struct {
	Path string
	// Key is the API key sent as the bearer token.
	Key string
}

// AwaitReady waits until every node reports ready at /readyz and answers every
// probe with 200 OK. Each of these checks has up to 30 s.
func (f *Fleet) AwaitReady(ctx context.Context, probes []Probe) error {
	for _, m := range f.VMs {
		if err := awaitOK(ctx, "http://"+hostPort(m.IP, operatorPort)+"/readyz"); err != nil {
			return err
		}
	}
	for i, entry := range f.EntryURLs() {
		for j, probe := range probes {
			id := fmt.Sprintf("probe-%d-%d", i, j)
			if err := awaitOKWithKey(ctx, entry+probe.Path+"?Id="+id, probe.Key); err != nil {
				return err
			}
		}
	}
	return nil
}

// awaitOK waits, as awaitOKWithKey does, for a URL that needs no API key.
func awaitOK(ctx context.Context, url string) error {
	return awaitOKWithKey(ctx, url, "")
}

// awaitOKWithKey sends GET requests every readyPoll until the response is 200 OK.
// It returns an error after readyTimeout or when ctx ends.
func awaitOKWithKey(ctx context.Context, url, key string) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	var lastErr error
	for {
		err := get(ctx, url, key)
		if err == nil {
			return nil
		}
		if lastErr == nil || !errors.Is(err, context.DeadlineExceeded) {
			lastErr = err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s did not answer 200 OK within %s: %w", url, readyTimeout, lastErr)
		case <-ticker.C:
		}
	}
}

func get(ctx context.Context, url, key string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	if key != "" {
		req.Header.Set(header.Authorization, "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %s: %s", resp.Status, strings.TrimSpace(string(text)))
	}
	return nil
}
