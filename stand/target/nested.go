package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/protocol/header"
	"github.com/greengagewind/greengagewind/stand/record"
)

// NestedCall is a call that a target makes within its runs, either all of them or
// those of one kind of request.
type NestedCall struct {
	// TriggerMethod and TriggerPath are the method and path of the requests
	// within which the call is made. Both are "" when every request triggers it.
	TriggerMethod string
	TriggerPath   string
	Method        string
	Path          string
}

// ParseNestedCall parses a value of --call: "METHOD PATH" or
// "TRIGGER-METHOD TRIGGER-PATH=METHOD PATH". It returns an error for any other form.
func ParseNestedCall(text string) (NestedCall, error) {
	var call NestedCall
	trigger, nested, found := strings.Cut(text, "=")
	if !found {
		nested = text
	} else if _, err := fmt.Sscanf(trigger, "%s %s", &call.TriggerMethod, &call.TriggerPath); err != nil {
		return call, fmt.Errorf("--call %q: expected a form such as POST /b=POST /a", text)
	}
	if _, err := fmt.Sscanf(nested, "%s %s", &call.Method, &call.Path); err != nil {
		return call, fmt.Errorf("--call %q: expected a form such as POST /a", text)
	}
	return call, nil
}

// AppliesTo reports whether the call is made within a request with the given
// method and path.
func (c NestedCall) AppliesTo(method, path string) bool {
	return c.TriggerPath == "" || c.TriggerMethod == method && c.TriggerPath == path
}

// nestedCaller makes nested calls through the node on the VM of the target.
type nestedCaller struct {
	// node is the base URL of the node, without a trailing slash.
	node   string
	client *http.Client
}

// idBody holds the ID of the caller's request, which is the one field that all
// request and answer bodies of the stand-ins have.
type idBody struct {
	ID string `json:"Id"`
}

// call makes one nested call. id is the ID of the caller's request, and token is
// its Gage-Context header, which links the nested call to that request. It
// returns the run log entry of the call and, when the call succeeded, the body of
// the answer.
func (c *nestedCaller) call(ctx context.Context, nestedCall NestedCall, id, token string) (record.Nested, json.RawMessage) {
	entry := record.Nested{Call: nestedCall.Method + " " + nestedCall.Path}
	req, err := c.newRequest(ctx, nestedCall, id)
	if err != nil {
		entry.Error = err.Error()
		return entry, nil
	}
	req.Header.Set(header.Context, token)
	resp, err := c.client.Do(req)
	if err != nil {
		entry.Error = err.Error()
		return entry, nil
	}
	defer func() { _ = resp.Body.Close() }()
	entry.Status = resp.StatusCode
	body, err := io.ReadAll(io.LimitReader(resp.Body, gage.MaxBodyBytes))
	if err != nil {
		entry.Error = err.Error()
		return entry, nil
	}
	if resp.StatusCode/100 != 2 {
		entry.Error = "status " + resp.Status
		return entry, nil
	}
	var answer idBody
	if err := json.Unmarshal(body, &answer); err != nil {
		entry.Error = "nested answer is truncated or not valid JSON"
		return entry, nil
	}
	if answer.ID != id {
		entry.Error = fmt.Sprintf("nested answer has the Id of another request: %q", answer.ID)
		return entry, nil
	}
	return entry, body
}

// newRequest returns a request that carries id in its query, for GET, or in its
// body.
func (c *nestedCaller) newRequest(ctx context.Context, nestedCall NestedCall, id string) (*http.Request, error) {
	endpoint := c.node + nestedCall.Path
	if nestedCall.Method == http.MethodGet {
		endpoint += "?Id=" + url.QueryEscape(id)
		return http.NewRequestWithContext(ctx, nestedCall.Method, endpoint, nil)
	}
	body, err := json.Marshal(idBody{ID: id})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, nestedCall.Method, endpoint, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody, net/http cannot send the request a second time after a
	// connection failure.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}
