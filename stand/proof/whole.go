package proof

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/greengagewind/greengagewind/gage/protocol/header"
	"github.com/greengagewind/greengagewind/stand/check"
	"github.com/greengagewind/greengagewind/stand/fleet"
	"github.com/greengagewind/greengagewind/stand/record"
)

const (
	// shortCallerTimeout is shorter than a slowed-down run, so that callers give up
	// before the answer arrives.
	shortCallerTimeout = 150 * time.Millisecond
	pipelineDepth      = 8
	pipelineCount      = 10
	pipelineTimeout    = 5 * time.Second
)

// wholeAnswers makes targets truncate answers and answer after the callers have
// given up, and sends pipelined requests. Reused connections must not deliver
// truncated answers or answers to other requests.
func wholeAnswers() Scenario {
	pipelined := check.Finding{Check: "PipelinedAnswersInOrder"}
	return Scenario{
		Point: "WholeAnswers",
		Run: func(ctx context.Context, h *Harness) error {
			targets := h.Fleet.Targets("search")
			for _, target := range targets[:2] {
				if err := target.SetFault(ctx, "truncate", fleet.Fault{Share: 0.3}); err != nil {
					return err
				}
			}
			for _, target := range targets[2:5] {
				if err := target.SetFault(ctx, "slow", fleet.Fault{Factor: 15}); err != nil {
					return err
				}
			}
			plan := steadyPlan(12*time.Second, shortCallerTimeout, workspaceLoad("casa-austral", 150, searchRequest), workspaceLoad("casa-pampa", 100, datesRequest, searchRequest))
			return h.During(ctx, plan, 1, func(ctx context.Context) error {
				return runPipelines(ctx, h, &pipelined)
			})
		},
		Judge: func(in check.Input) Result {
			for i := range pipelineCount * pipelineDepth {
				in.Sent = append(in.Sent, record.Sent{ID: pipelinedID(i), Workspace: ownWorkspace, Keyed: true})
			}
			result := judge(check.Answers(in), check.Owner(in), pipelined)
			truncated, canceled := 0, 0
			for _, run := range in.Runs {
				switch run.Result {
				case record.ResultTruncated:
					truncated++
				case record.ResultCanceled:
					canceled++
				}
			}
			result.require(truncated > 0 && canceled > 0, "%d answers were truncated and %d canceled", truncated, canceled)
			answered, total, _ := countOutcomes(in.Sent)
			result.Figure = fmt.Sprintf("%d answers truncated and %d canceled at the targets; none crossed or truncated among %d complete of %d; %d pipelined in order",
				truncated, canceled, answered, total, pipelined.Checked)
			return result
		},
	}
}

func runPipelines(ctx context.Context, h *Harness, finding *check.Finding) error {
	for i := range pipelineCount {
		m := h.Fleet.VMs[i%len(h.Fleet.VMs)]
		if err := h.pipeline(ctx, m, i*pipelineDepth, finding); err != nil {
			return err
		}
	}
	return nil
}

// pipeline sends pipelineDepth requests over one connection before it reads the
// answers. first is the number of the first request.
func (h *Harness) pipeline(ctx context.Context, m *fleet.RunningVM, first int, finding *check.Finding) error {
	dialer := &net.Dialer{Timeout: pipelineTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", m.EntryURL()[len("http://"):])
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(pipelineTimeout)); err != nil {
		return err
	}
	for i := range pipelineDepth {
		text := fmt.Sprintf("GET %s?Id=%s HTTP/1.1\r\nHost: entry\r\n%s: Bearer %s\r\n\r\n",
			searchRequest.Path, pipelinedID(first+i), header.Authorization, h.Keys[ownWorkspace])
		if _, err := io.WriteString(conn, text); err != nil {
			return err
		}
	}
	reader := bufio.NewReader(conn)
	for i := range pipelineDepth {
		if err := readPipelined(reader, pipelinedID(first+i), finding); err != nil {
			finding.Violations++
			finding.Examples = append(finding.Examples, fmt.Sprintf("%s: %s", pipelinedID(first+i), err))
			return nil
		}
	}
	return nil
}

func pipelinedID(number int) string { return fmt.Sprintf("piped-%d", number) }

// readPipelined reads one answer. It returns an error if a successful answer has
// another ID than the given one.
func readPipelined(reader *bufio.Reader, id string, finding *check.Finding) error {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	finding.Checked++
	if resp.StatusCode != http.StatusOK {
		return nil
	}
	var answer struct {
		ID string `json:"Id"`
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return err
	}
	if answer.ID != id {
		return errors.New("the answer belongs to request " + answer.ID)
	}
	return nil
}
