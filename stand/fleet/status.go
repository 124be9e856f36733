package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/greengagewind/greengagewind/gage/protocol/oper"
)

// maxStatusBytes bounds a response of a node's operator API.
const maxStatusBytes = 1 << 20

// EntryURL returns the base URL of the node for requests from callers.
func (m *RunningVM) EntryURL() string { return "http://" + hostPort(m.IP, callerPort) }

// TargetURL returns the base URL of the node for the targets of the VM.
func (m *RunningVM) TargetURL() string { return "http://" + hostPort(m.IP, registrationPort) }

// OperatorURL returns the base URL of the node's operator API.
func (m *RunningVM) OperatorURL() string { return "http://" + hostPort(m.IP, operatorPort) }

// Status returns the status of the node of a VM.
func (m *RunningVM) Status(ctx context.Context) (status oper.Status, err error) {
	return status, m.getJSON(ctx, "/v1/status", &status)
}

// Explain returns the node's record of a request by its request id.
func (m *RunningVM) Explain(ctx context.Context, requestID string) (explained oper.Explanation, err error) {
	return explained, m.getJSON(ctx, "/v1/explain/"+requestID, &explained)
}

func (m *RunningVM) getJSON(ctx context.Context, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, m.OperatorURL()+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s from the node of %s: %s", path, m.Name, resp.Status)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(into)
}
