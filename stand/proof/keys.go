package proof

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/protocol/header"
	"github.com/greengagewind/greengagewind/stand/check"
	"github.com/greengagewind/greengagewind/stand/record"
)

const (
	ownWorkspace         = "casa-austral"
	otherWorkspace       = "casa-pampa"
	customRequestTimeout = 3 * time.Second
)

// customRequest is a request that the scenario builds itself; the load
// generator sends only well-formed ones.
type customRequest struct {
	// Name identifies the case; the ID of the request is derived from it.
	Name   string
	Method string
	// URL contains no query; the query stands in Query.
	URL   string
	Query string
	// Key is sent as a bearer token in the Authorization header, unless empty.
	Key    string
	Header http.Header
	// Pad is a string in the body next to the request ID.
	Pad     string
	Trailer http.Header
	Host    string
	// Workspace is the only workspace for which the request may run.
	Workspace string
	// MustRefuse is true if the request must not run at all.
	MustRefuse bool
}

// keysAndWorkspaces sends a key in each part of a request, forges the headers
// that only nodes may set, and makes nested calls with invalid tokens. No target
// may receive a key, and no request may run for another workspace.
func keysAndWorkspaces() Scenario {
	mustRefuse := make(map[string]string)
	runs := 0
	return Scenario{
		Point:   "KeysAndWorkspaces",
		Prepare: addHolderService,
		Run: func(ctx context.Context, h *Harness) error {
			cases := append(keyPlacementRequests(h), forgedRequests(h)...)
			for _, m := range h.Fleet.VMs[:2] {
				for _, request := range cases {
					request.URL = m.EntryURL() + request.URL
					request.Name += "-" + m.Name
					h.sendCustom(ctx, request, mustRefuse)
				}
			}
			return sendTokenRequests(ctx, h, mustRefuse)
		},
		Judge: func(in check.Input) Result {
			result := judge(check.Owner(in), check.Keys(in))
			for _, run := range in.Runs {
				if name, found := mustRefuse[run.ID]; found {
					result.fail("%s should have been refused and ran at %s as %q", name, run.Target, run.Workspace)
				}
				if !strings.HasPrefix(run.ID, check.ProbePrefix) {
					runs++
				}
			}
			result.require(runs > 0, "nothing ran")
			result.Figure = fmt.Sprintf("%d custom requests, %d runs; %d requests had to be refused",
				len(in.Sent), runs, len(mustRefuse))
			return result
		},
	}
}

// sendCustom sends a request and appends the attempt with its result to h.Sent.
// If the request must be refused, it adds the ID and the name to mustRefuse.
func (h *Harness) sendCustom(ctx context.Context, request customRequest, mustRefuse map[string]string) {
	ctx, cancel := context.WithTimeout(ctx, customRequestTimeout)
	defer cancel()
	parsed, err := url.Parse(request.URL)
	sent := record.Sent{
		ID: "by-hand-" + request.Name, Workspace: request.Workspace, Keyed: request.Workspace != "",
		Method: request.Method, Attempt: 1, Last: true, Entry: request.URL, SentMicros: time.Now().UnixMicro(),
	}
	if err == nil {
		sent.Path = parsed.Path
	}
	if request.MustRefuse {
		mustRefuse[sent.ID] = request.Name
	}
	if err := request.send(ctx, &sent); err != nil {
		sent.Outcome, sent.Error = string(gage.OutcomeUnknown), err.Error()
	}
	sent.ReceivedMicros = time.Now().UnixMicro()
	h.Sent = append(h.Sent, sent)
}

func (e *customRequest) send(ctx context.Context, sent *record.Sent) error {
	address := e.URL + "?Id=" + sent.ID
	if e.Query != "" {
		address += "&" + e.Query
	}
	var body io.Reader = http.NoBody
	if e.Method != http.MethodGet || e.Pad != "" {
		body = strings.NewReader(fmt.Sprintf(`{"Id":%q,"Pad":%q}`, sent.ID, e.Pad))
	}
	if e.Trailer != nil {
		// Trailers need a chunked body. net/http sends a body in chunks if it
		// can't determine the length.
		body = io.MultiReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, e.Method, address, body)
	if err != nil {
		return err
	}
	for name, values := range e.Header {
		req.Header[name] = values
	}
	req.Trailer, req.Host = e.Trailer, e.Host
	if e.Key != "" {
		req.Header.Set(header.Authorization, "Bearer "+e.Key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	sent.Status = resp.StatusCode
	sent.Outcome = resp.Header.Get(header.Outcome)
	sent.RequestID = resp.Header.Get(header.RequestID)
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
