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
	// impatience is shorter than a slow run, so that answers come late.
	impatience    = 150 * time.Millisecond
	pipelineDepth = 8
	pipelines     = 10
	pipelineLimit = 5 * time.Second
)

// wholeAnswers has targets cut answers short and answer late, so that callers
// give up and connections are used again, and sends requests close upon one
// another over one connection.
func wholeAnswers() Scenario {
	piped := check.Finding{Check: "PipelinedAnswersInOrder"}
	return Scenario{
		Point: "WholeAnswers",
		Run: func(ctx context.Context, b *Bench) error {
			backs := b.Fleet.Targets("search")
			for _, back := range backs[:2] {
				if err := back.SetFault(ctx, "truncate", fleet.Fault{Share: 0.3}); err != nil {
					return err
				}
			}
			for _, back := range backs[2:5] {
				if err := back.SetFault(ctx, "slow", fleet.Fault{Factor: 15}); err != nil {
					return err
				}
			}
			plan := steady(12*time.Second, impatience, callers("casa-austral", 150, search), callers("casa-pampa", 100, dates, search))
			return b.During(ctx, plan, 1, func(ctx context.Context) error {
				return pipelineAll(ctx, b, &piped)
			})
		},
		Judge: func(in check.Input) Result {
			for i := range pipelines * pipelineDepth {
				in.Sent = append(in.Sent, record.Sent{ID: pipedID(i), Workspace: ownWorkspace, Keyed: true})
			}
			result := judge(check.Answers(in), check.Owner(in), piped)
			cut, late := 0, 0
			for _, run := range in.Runs {
				switch run.Result {
				case record.ResultTruncated:
					cut++
				case record.ResultCanceled:
					late++
				}
			}
			result.hold(cut > 0 && late > 0, "%d answers were cut and %d given up", cut, late)
			whole, all, _ := outcomes(in.Sent)
			result.Figure = fmt.Sprintf("%d answers cut and %d given up at the targets; none crossed or truncated among %d whole of %d; %d pipelined in order",
				cut, late, whole, all, piped.Checked)
			return result
		},
	}
}

func pipelineAll(ctx context.Context, b *Bench, finding *check.Finding) error {
	for turn := range pipelines {
		m := b.Fleet.VMs[turn%len(b.Fleet.VMs)]
		if err := b.pipeline(ctx, m, turn*pipelineDepth, finding); err != nil {
			return err
		}
	}
	return nil
}

// pipeline sends requests over one connection without waiting for answers.
func (b *Bench) pipeline(ctx context.Context, m *fleet.RunningVM, first int, finding *check.Finding) error {
	dialer := &net.Dialer{Timeout: pipelineLimit}
	conn, err := dialer.DialContext(ctx, "tcp", m.EntryURL()[len("http://"):])
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(pipelineLimit)); err != nil {
		return err
	}
	for i := range pipelineDepth {
		text := fmt.Sprintf("GET %s?Id=%s HTTP/1.1\r\nHost: entry\r\n%s: Bearer %s\r\n\r\n",
			search.Path, pipedID(first+i), header.Authorization, b.Keys[ownWorkspace])
		if _, err := io.WriteString(conn, text); err != nil {
			return err
		}
	}
	reader := bufio.NewReader(conn)
	for i := range pipelineDepth {
		if err := readPiped(reader, pipedID(first+i), finding); err != nil {
			finding.Violations++
			finding.Examples = append(finding.Examples, fmt.Sprintf("%s: %s", pipedID(first+i), err))
			return nil
		}
	}
	return nil
}

func pipedID(number int) string { return fmt.Sprintf("piped-%d", number) }

// readPiped reads one answer; a success must belong to the request whose turn
// it is.
func readPiped(reader *bufio.Reader, id string, finding *check.Finding) error {
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
		return errors.New("the answer belongs to " + answer.ID)
	}
	return nil
}
