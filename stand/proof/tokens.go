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
	// endedAfter is how long after its request's end a token must be useless.
	endedAfter = 200 * time.Millisecond
	joinLimit  = 5 * time.Second
)

// prepareHolder adds the service of a target that this process runs itself, to
// have tokens at hand while their requests run.
func prepareHolder(b *Bench) {
	b.Config.Add("Service", map[string]any{
		"Name": holderService, "MaxConcurrency": 10, "ColdStart": "1s", "ColdConcurrency": 10,
	})
	b.Config.Add("Route", map[string]any{
		"Name": "hold", "Method": http.MethodPost, "PathPrefix": holderPath, "Service": holderService,
		"Importance": "Normal", "Deadline": "5s",
	})
}

// holdTokens runs a target that hands its tokens out, and uses them.
func holdTokens(ctx context.Context, b *Bench, refused map[string]string) error {
	tokens := make(chan string)
	release := make(chan struct{})
	held := func(w http.ResponseWriter, r *http.Request) {
		tokens <- r.Header.Get(header.Context)
		<-release
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(`{}`))
	}
	home, other := b.Fleet.VMs[0], b.Fleet.VMs[1]
	listener, err := net.Listen("tcp", home.IP+":9900")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(held)}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	if err := announceHolder(ctx, home.TargetURL(), listener.Addr().String()); err != nil {
		return err
	}
	answered := make(chan int, 1)
	go func() { answered <- b.holdRequest(ctx, home.EntryURL()) }()
	var token string
	select {
	case token = <-tokens:
	case status := <-answered:
		return fmt.Errorf("the request whose token was wanted ended with status %d", status)
	}
	b.useToken(ctx, token, home.TargetURL(), other.TargetURL(), home.EntryURL(), refused)
	close(release)
	if status := <-answered; status != http.StatusOK {
		return fmt.Errorf("the request whose token was held ended with status %d", status)
	}
	sleep(ctx, endedAfter)
	b.nested(ctx, "token-ended", home.TargetURL(), token, "", refused)
	return nil
}

// useToken makes nested calls while the request of the token runs.
func (b *Bench) useToken(ctx context.Context, token, home, other, entry string, refused map[string]string) {
	b.nested(ctx, "token-live", home, token, ownWorkspace, refused)
	b.nested(ctx, "token-elsewhere", other, token, "", refused)
	b.nested(ctx, "token-none", home, "", "", refused)
	b.nested(ctx, "token-made-up", home, "0123456789abcdef0123456789abcdef", "", refused)
	b.nested(ctx, "token-shortened", home, token[:len(token)-1], "", refused)
	b.exchange(ctx, exchange{
		Name: "token-none-keyed", Method: http.MethodPost, URL: home + transferPath,
		Key: b.Keys[otherWorkspace], Refused: true,
	}, refused)
	claims := http.Header{header.Context: {token}, header.Workspace: {otherWorkspace}}
	b.exchange(ctx, exchange{
		Name: "token-live-claims", Method: http.MethodPost, URL: home + transferPath,
		Header: claims, Key: b.Keys[otherWorkspace], Workspace: ownWorkspace,
	}, refused)
	b.exchange(ctx, exchange{
		Name: "token-at-entry", Method: http.MethodPost, URL: entry + transferPath, Header: claims, Refused: true,
	}, refused)
	b.exchange(ctx, exchange{
		Name: "token-at-entry-keyed", Method: http.MethodPost, URL: entry + lodge.Path, Header: claims,
		Key: b.Keys[otherWorkspace], Workspace: otherWorkspace,
	}, refused)
}

// nested makes a nested call; without a workspace it must be refused.
func (b *Bench) nested(ctx context.Context, name, node, token, workspace string, refused map[string]string) {
	headers := http.Header{}
	if token != "" {
		headers.Set(header.Context, token)
	}
	b.exchange(ctx, exchange{
		Name: name, Method: http.MethodPost, URL: node + transferPath, Header: headers,
		Workspace: workspace, Refused: workspace == "",
	}, refused)
}

// holdRequest sends the request whose token is wanted until the fleet knows
// the target, and returns the last status.
func (b *Bench) holdRequest(ctx context.Context, entry string) int {
	end := time.Now().Add(joinLimit)
	for {
		status := 0
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+holderPath, strings.NewReader(`{"Id":"held"}`))
		if err != nil {
			return status
		}
		req.Header.Set(header.Authorization, "Bearer "+b.Keys[ownWorkspace])
		if resp, err := http.DefaultClient.Do(req); err == nil {
			status = resp.StatusCode
			_ = resp.Body.Close()
		}
		if status == http.StatusOK || time.Now().After(end) {
			return status
		}
		sleep(ctx, endedAfter)
	}
}

func announceHolder(ctx context.Context, node, address string) error {
	text, err := json.Marshal(map[string]any{
		"Service": holderService, "Address": address, "Incarnation": 1,
		"CapacityHint": 10, "TTLMillis": holderTTL.Milliseconds(),
	})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, node+"/v1/targets/holder-1", strings.NewReader(string(text)))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("announce: status %s", resp.Status)
	}
	return nil
}
