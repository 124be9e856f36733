// Package etcd is a client of the platform's store. It uses the JSON form of the
// etcd v3 API.
package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/greengagewind/greengagewind/gage/protocol/header"
	"github.com/greengagewind/greengagewind/gage/protocol/kvmsg"
)

// The limits of a store call.
const (
	callTimeout      = 2 * time.Second
	connectTimeout   = time.Second
	maxResponseBytes = 64 << 20
	maxErrorBytes    = 4 << 10
	maxHeaderBytes   = 64 << 10
	maxIdlePerHost   = 4
	idleConnTimeout  = time.Minute
)

// serviceName is the name that identifies the circuit breaker of httpc.
const serviceName = "gage-store"

// ErrNoAnswer means that a call got no usable response from the store. RefusedError
// wraps it as well. A write that failed with ErrNoAnswer may have taken effect.
var ErrNoAnswer = errors.New("no answer from the store")

// Client implements gage.Store.
type Client struct {
	endpoints []string
	// endpointIndex selects the endpoint of the next call: its index is
	// endpointIndex modulo the number of endpoints. Each failed call increments
	// endpointIndex.
	endpointIndex atomic.Uint64
	service       httpc.Service
}

// New returns a client of the store at endpoints, each a URL with a host and a port.
// A trailing slash is ignored.
func New(endpoints []string) *Client {
	// The circuit breaker of httpc would still refuse calls for some time after
	// the end of an outage and so delay the first read. It is not needed, since
	// the callers of this package limit the rate of calls, and callTimeout limits
	// their duration.
	breaker.NoBreakerFor(serviceName)
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: connectTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	trimmedEndpoints := make([]string, len(endpoints))
	for i, endpoint := range endpoints {
		trimmedEndpoints[i] = strings.TrimRight(endpoint, "/")
	}
	return &Client{
		endpoints: trimmedEndpoints,
		service:   httpc.NewServiceWithClient(serviceName, &http.Client{Transport: transport}),
	}
}

// call sends one request and decodes the reply of the store into response, all
// within callTimeout.
func (c *Client) call(ctx context.Context, path string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.send(ctx, path, request, func(body io.Reader) error {
		if err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(response); err != nil {
			return fmt.Errorf("%w: read response of %s: %w", ErrNoAnswer, path, err)
		}
		// net/http reuses the connection only if the body was read to its end.
		_, _ = io.Copy(io.Discard, io.LimitReader(body, maxErrorBytes))
		return nil
	})
}

// send posts message to the current endpoint and passes the body of a response with
// status 200 to read. If the call fails, the next one goes to the next endpoint.
func (c *Client) send(ctx context.Context, path string, message any, read func(body io.Reader) error) error {
	if len(c.endpoints) == 0 {
		return fmt.Errorf("%w: no endpoint is configured", ErrNoAnswer)
	}
	body, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	endpoint := c.endpoints[c.endpointIndex.Load()%uint64(len(c.endpoints))]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, endpoint+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	// Without GetBody net/http cannot retry the request by itself.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := c.service.DoRequest(request)
	if err != nil {
		c.endpointIndex.Add(1)
		return fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := header.CheckNames(response.Header); err != nil {
		c.endpointIndex.Add(1)
		return fmt.Errorf("%w: %s: %w", ErrNoAnswer, path, err)
	}
	if response.StatusCode != http.StatusOK {
		c.endpointIndex.Add(1)
		return refusedError(path, response)
	}
	if err := read(response.Body); err != nil {
		c.endpointIndex.Add(1)
		return err
	}
	return nil
}

// refusedError returns the error of a response with a status other than 200.
func refusedError(path string, response *http.Response) error {
	var decoded kvmsg.Error
	_ = json.NewDecoder(io.LimitReader(response.Body, maxErrorBytes)).Decode(&decoded)
	return &RefusedError{Path: path, Status: response.StatusCode, Message: decoded.Error}
}

// RefusedError is the error of a call that the store refused.
type RefusedError struct {
	// Path is the URL path of the call.
	Path string
	// Status is the HTTP status of the response.
	Status int
	// Message is the error message of the store, or "".
	Message string
}

// Error returns the path, the status and the message of the store.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the store refused %s with status %d: %s", e.Path, e.Status, e.Message)
}

// Unwrap returns ErrNoAnswer: a gateway in front of the store may refuse a write
// after it took effect.
func (e *RefusedError) Unwrap() error { return ErrNoAnswer }
