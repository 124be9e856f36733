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
	ownWorkspace   = "casa-austral"
	otherWorkspace = "casa-pampa"
	exchangeLimit  = 3 * time.Second
)

// exchange is one request made by hand.
type exchange struct {
	// Name tells the cases apart; the identity follows from it.
	Name   string
	Method string
	// URL has no query.
	URL   string
	Query string
	// Key is sent as it should be, "" sends none.
	Key    string
	Header http.Header
	// Pad stands in the body beside the identity.
	Pad     string
	Trailer http.Header
	Host    string
	// Workspace is whose run it may be.
	Workspace string
	// Refused tells that it must not run at all.
	Refused bool
}

// keysAndWorkspaces puts a key in each place a caller may put it, forges the
// headers of nodes, and makes nested calls with tokens that do not fit.
func keysAndWorkspaces() Scenario {
	refused := make(map[string]string)
	ran := 0
	return Scenario{
		Point:   "KeysAndWorkspaces",
		Prepare: prepareHolder,
		Run: func(ctx context.Context, b *Bench) error {
			cases := append(keyPlaces(b), forgeries(b)...)
			for _, m := range b.Fleet.VMs[:2] {
				for _, one := range cases {
					one.URL = m.EntryURL() + one.URL
					one.Name += "-" + m.Name
					b.exchange(ctx, one, refused)
				}
			}
			return holdTokens(ctx, b, refused)
		},
		Judge: func(in check.Input) Result {
			result := judge(check.Owner(in), check.Keys(in))
			for _, run := range in.Runs {
				if name, must := refused[run.ID]; must {
					result.fail("%s should have been refused and ran at %s as %q", name, run.Target, run.Workspace)
				}
				if !strings.HasPrefix(run.ID, check.ProbePrefix) {
					ran++
				}
			}
			result.hold(ran > 0, "nothing ran")
			result.Figure = fmt.Sprintf("%d requests by hand, %d runs, %d of them had to be refused and were looked for",
				len(in.Sent), ran, len(refused))
			return result
		},
	}
}

// exchange sends one request and keeps what became of it.
func (b *Bench) exchange(ctx context.Context, one exchange, refused map[string]string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeLimit)
	defer cancel()
	parsed, err := url.Parse(one.URL)
	sent := record.Sent{
		ID: "by-hand-" + one.Name, Workspace: one.Workspace, Keyed: one.Workspace != "",
		Method: one.Method, Attempt: 1, Last: true, Entry: one.URL, SentMicros: time.Now().UnixMicro(),
	}
	if err == nil {
		sent.Path = parsed.Path
	}
	if one.Refused {
		refused[sent.ID] = one.Name
	}
	if err := one.send(ctx, &sent); err != nil {
		sent.Outcome, sent.Error = string(gage.OutcomeUnknown), err.Error()
	}
	sent.ReceivedMicros = time.Now().UnixMicro()
	b.Sent = append(b.Sent, sent)
}

func (e *exchange) send(ctx context.Context, sent *record.Sent) error {
	address := e.URL + "?Id=" + sent.ID
	if e.Query != "" {
		address += "&" + e.Query
	}
	var body io.Reader = http.NoBody
	if e.Method != http.MethodGet || e.Pad != "" {
		body = strings.NewReader(fmt.Sprintf(`{"Id":%q,"Pad":%q}`, sent.ID, e.Pad))
	}
	if e.Trailer != nil {
		// A body of unknown length is sent in chunks, which trailers need.
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
