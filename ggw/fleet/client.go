// Package fleet provides the HTTP client of the nodes' operator API.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/greengagewind/greengagewind/gage/coordination/apply"
	"github.com/greengagewind/greengagewind/gage/protocol/header"
	"github.com/greengagewind/greengagewind/gage/protocol/oper"
)

const (
	// getTimeout limits a status or explain request.
	getTimeout = 5 * time.Second
	// applyTimeout is longer than the 10 s after which a node stops an apply, so
	// that the node's result still arrives.
	applyTimeout     = 12 * time.Second
	maxResponseBytes = 64 << 20
)

// serviceName is the key of the circuit breaker that httpc uses for the client.
const serviceName = "gage-operators"

// Client implements cli.NodeClient over HTTP. Its calls bypass the circuit breaker
// of httpc.
type Client struct {
	httpService httpc.Service
}

// New returns a client and turns off the circuit breaker for its calls.
func New() *Client {
	// An open circuit breaker would replace the errors of calls with its own. Since
	// a command makes few calls, it does not need a circuit breaker.
	breaker.NoBreakerFor(serviceName)
	return &Client{httpService: httpc.NewServiceWithClient(serviceName, &http.Client{})}
}

// Status returns the node's view of the fleet. It times out after 5 s.
func (c *Client) Status(ctx context.Context, node string) (oper.Status, error) {
	var status oper.Status
	err := c.get(ctx, node, oper.PathStatus, &status)
	return status, err
}

// Explain returns those events of a request that the node still has in memory. It
// times out after 5 s.
func (c *Client) Explain(ctx context.Context, node, requestID string) (oper.Explanation, error) {
	var explanation oper.Explanation
	err := c.get(ctx, node, oper.PathExplain+url.PathEscape(requestID), &explanation)
	return explanation, err
}

// Apply sends a configuration file to the node, which puts it in force. After an
// error the outcome is unknown. Apply times out after 12 s.
func (c *Client) Apply(ctx context.Context, node string, request oper.ApplyRequest) (apply.Result, error) {
	var result apply.Result
	body, err := json.Marshal(request)
	if err != nil {
		return result, fmt.Errorf("call node %s: %w", node, err)
	}
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	err = c.call(ctx, http.MethodPost, node, oper.PathApply, body, &result)
	return result, err
}

func (c *Client) get(ctx context.Context, node, path string, decoded any) error {
	ctx, cancel := context.WithTimeout(ctx, getTimeout)
	defer cancel()
	return c.call(ctx, http.MethodGet, node, path, nil, decoded)
}

func (c *Client) call(ctx context.Context, method, node, path string, body []byte, decoded any) error {
	request, err := http.NewRequestWithContext(ctx, method, baseURL(node)+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("call node %s: %w", node, err)
	}
	response, err := c.httpService.DoRequest(request)
	if err != nil {
		return fmt.Errorf("call node %s: %w", node, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := header.CheckNames(response.Header); err != nil {
		return fmt.Errorf("call node %s: %w", node, err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("call node %s: unexpected status %s for %s %s", node, response.Status, method, path)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(decoded); err != nil {
		return fmt.Errorf("decode the response of node %s: %w", node, err)
	}
	return nil
}

// baseURL returns the URL of a node without a trailing slash. If node is only a
// host:port, the scheme http is added.
func baseURL(node string) string {
	node = strings.TrimRight(node, "/")
	if strings.Contains(node, "://") {
		return node
	}
	return "http://" + node
}
