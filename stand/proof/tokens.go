package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/greengagewind/greengagewind/gage/protocol/header"
)

const (
	holderService = "holder"
	holderPath    = "/holder/hold"
	holderTTL     = 5 * time.Second
	transferPath  = "/custody/transfer"
	// tokenExpiry is the time after the end of a request within which its token
	// must become invalid.
	tokenExpiry      = 200 * time.Millisecond
	discoveryTimeout = 5 * time.Second
)

// addHolderService adds the service holder, whose target runs in this process.
// The target gives the scenario valid tokens while their requests run.
func addHolderService(h *Harness) {
	h.Config.Add("Service", map[string]any{
		"Name": holderService, "MaxConcurrency": 10, "ColdStart": "1s", "ColdConcurrency": 10,
	})
	h.Config.Add("Route", map[string]any{
		"Name": "hold", "Method": http.MethodPost, "PathPrefix": holderPath, "Service": holderService,
		"Importance": "Normal", "Deadline": "5s",
	})
}

// sendTokenRequests runs the target of the service holder and sends nested calls
// with the token of a request, during and after the request, and with invalid
// tokens.
func sendTokenRequests(ctx context.Context, h *Harness, mustRefuse map[string]string) error {
	tokens := make(chan string)
	release := make(chan struct{})
	handler := func(w http.ResponseWriter, r *http.Request) {
		tokens <- r.Header.Get(header.Context)
		<-release
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{}`))
	}
	homeNode, otherNode := h.Fleet.VMs[0], h.Fleet.VMs[1]
	listener, err := net.Listen("tcp", homeNode.IP+":9900")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(handler)}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	if err := announceHolder(ctx, homeNode.TargetURL(), listener.Addr().String()); err != nil {
		return err
	}
	finalStatus := make(chan int, 1)
	go func() { finalStatus <- h.sendHolderRequest(ctx, homeNode.EntryURL()) }()
	var token string
	select {
	case token = <-tokens:
	case status := <-finalStatus:
		return fmt.Errorf("the holder request ended with status %d before its target received a token", status)
	}
	h.sendWithLiveToken(ctx, token, homeNode.TargetURL(), otherNode.TargetURL(), homeNode.EntryURL(), mustRefuse)
	close(release)
	if status := <-finalStatus; status != http.StatusOK {
		return fmt.Errorf("the request whose token was used ended with status %d", status)
	}
	sleep(ctx, tokenExpiry)
	h.sendNested(ctx, "token-ended", homeNode.TargetURL(), token, "", mustRefuse)
	return nil
}

// sendWithLiveToken sends requests while the request of the token runs. A nested
// call with the token may run on the node that issued it only.
func (h *Harness) sendWithLiveToken(ctx context.Context, token, homeNode, otherNode, entry string, mustRefuse map[string]string) {
	h.sendNested(ctx, "token-live", homeNode, token, ownWorkspace, mustRefuse)
	h.sendNested(ctx, "token-elsewhere", otherNode, token, "", mustRefuse)
	h.sendNested(ctx, "token-none", homeNode, "", "", mustRefuse)
	h.sendNested(ctx, "token-made-up", homeNode, "0123456789abcdef0123456789abcdef", "", mustRefuse)
	h.sendNested(ctx, "token-shortened", homeNode, token[:len(token)-1], "", mustRefuse)
	h.sendCustom(ctx, customRequest{
		Name: "token-none-keyed", Method: http.MethodPost, URL: homeNode + transferPath,
		Key: h.Keys[otherWorkspace], MustRefuse: true,
	}, mustRefuse)
	forgedHeaders := http.Header{header.Context: {token}, header.Workspace: {otherWorkspace}}
	h.sendCustom(ctx, customRequest{
		Name: "token-live-claims", Method: http.MethodPost, URL: homeNode + transferPath,
		Header: forgedHeaders, Key: h.Keys[otherWorkspace], Workspace: ownWorkspace,
	}, mustRefuse)
	h.sendCustom(ctx, customRequest{
		Name: "token-at-entry", Method: http.MethodPost, URL: entry + transferPath, Header: forgedHeaders, MustRefuse: true,
	}, mustRefuse)
	h.sendCustom(ctx, customRequest{
		Name: "token-at-entry-keyed", Method: http.MethodPost, URL: entry + lodgeRequest.Path, Header: forgedHeaders,
		Key: h.Keys[otherWorkspace], Workspace: otherWorkspace,
	}, mustRefuse)
}

// sendNested sends a nested call. It must be refused if workspace is empty.
func (h *Harness) sendNested(ctx context.Context, name, node, token, workspace string, mustRefuse map[string]string) {
	headers := http.Header{}
	if token != "" {
		headers.Set(header.Context, token)
	}
	h.sendCustom(ctx, customRequest{
		Name: name, Method: http.MethodPost, URL: node + transferPath, Header: headers,
		Workspace: workspace, MustRefuse: workspace == "",
	}, mustRefuse)
}

// sendHolderRequest sends a request to the service holder and retries it until it
// succeeds or discoveryTimeout has passed, since the fleet must first discover the
// target. It returns the last status, or 0 if there was no answer.
func (h *Harness) sendHolderRequest(ctx context.Context, entry string) int {
	end := time.Now().Add(discoveryTimeout)
	for {
		status := 0
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+holderPath, strings.NewReader(`{"Id":"held"}`))
		if err != nil {
			return status
		}
		req.Header.Set(header.Authorization, "Bearer "+h.Keys[ownWorkspace])
		if resp, err := http.DefaultClient.Do(req); err == nil {
			status = resp.StatusCode
			_ = resp.Body.Close()
		}
		if status == http.StatusOK || time.Now().After(end) {
			return status
		}
		sleep(ctx, tokenExpiry)
	}
}

func announceHolder(ctx context.Context, node, address string) error {
	body, err := json.Marshal(map[string]any{
		"Service": holderService, "Address": address, "Incarnation": 1,
		"CapacityHint": 10, "TTLMillis": holderTTL.Milliseconds(),
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, node+"/v1/targets/holder-1", strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("announce target: status %s", resp.Status)
	}
	return nil
}
