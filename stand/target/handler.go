package target

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/protocol/header"
	"github.com/greengagewind/greengagewind/stand/record"
)

// Answer is the body of a target's answer.
type Answer struct {
	ID            string `json:"Id"`
	Target        string
	ServiceMicros int64
	Nested        []json.RawMessage
	Pad           string
}

// handler serves requests.
type handler struct {
	opts   *Options
	slots  *Slots
	caller *caller
	log    *record.Writer
	pad    string
}

func newHandler(opts *Options, slots *Slots, client *http.Client, log *record.Writer) *handler {
	return &handler{
		opts:   opts,
		slots:  slots,
		caller: &caller{node: strings.TrimSuffix(opts.Node, "/"), client: client},
		log:    log,
		pad:    strings.Repeat("x", opts.PadSize),
	}
}

// ServeHTTP runs one request, or sheds it.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, gage.MaxBodyBytes))
	if err != nil {
		return
	}
	begun := time.Now()
	ticket, ok := h.slots.Begin(begun)
	if !ok {
		w.Header().Set(header.NotRun, "true")
		http.Error(w, "no slot is free", http.StatusServiceUnavailable)
		return
	}
	run := h.describe(r, body, ticket, begun)
	defer h.finish(&run)
	answer := h.work(r, &run, ticket)
	switch {
	case run.Result == record.ResultCanceled:
	case run.Result == record.ResultFailed:
		http.Error(w, "the run failed", http.StatusBadGateway)
	case ticket.Truncate:
		run.Result = record.ResultTruncated
		writeHalf(w, answer)
	default:
		run.Result = record.ResultDone
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = w.Write(answer)
	}
}

func (h *handler) describe(r *http.Request, body []byte, ticket Ticket, begun time.Time) record.Run {
	return record.Run{
		Target:      h.opts.Name,
		Service:     h.opts.Service,
		ID:          identityOf(r, body),
		RequestID:   r.Header.Get(header.RequestID),
		Attempt:     r.Header.Get(header.Attempt),
		Workspace:   r.Header.Get(header.Workspace),
		Method:      r.Method,
		Path:        r.URL.Path,
		Query:       r.URL.RawQuery,
		StartMicros: begun.UnixMicro(),
		Concurrency: ticket.Concurrency,
		Cold:        ticket.Cold,
		ColdSlots:   ticket.ColdSlots,
		ColdMicros:  ticket.ColdFor.Microseconds(),
		TurnedCold:  ticket.Chilled,
		Header:      headerLines(r),
		Body:        string(body),
	}
}

// work spends the service time and makes the nested calls. It returns the
// answer and leaves run.Result empty when all went well.
func (h *handler) work(r *http.Request, run *record.Run, ticket Ticket) []byte {
	timer := time.NewTimer(ticket.Duration)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		run.Result = record.ResultCanceled
		return nil
	case <-timer.C:
	}
	if ticket.Fail {
		run.Result = record.ResultFailed
		return nil
	}
	answer := Answer{ID: run.ID, Target: h.opts.Name, Nested: []json.RawMessage{}, Pad: h.pad}
	for _, call := range h.opts.Calls {
		if !call.Within(r.Method, r.URL.Path) {
			continue
		}
		nested, nestedAnswer := h.caller.call(r.Context(), call, run.ID, r.Header.Get(header.Context))
		run.Nested = append(run.Nested, nested)
		if nested.Error != "" {
			run.Result = record.ResultFailed
			if r.Context().Err() != nil {
				run.Result = record.ResultCanceled
			}
			return nil
		}
		answer.Nested = append(answer.Nested, nestedAnswer)
	}
	answer.ServiceMicros = time.Now().UnixMicro() - run.StartMicros
	encoded, err := json.Marshal(answer)
	if err != nil {
		run.Result = record.ResultFailed
		return nil
	}
	return encoded
}

func (h *handler) finish(run *record.Run) {
	h.slots.End(run.Result == record.ResultCanceled)
	run.EndMicros = time.Now().UnixMicro()
	h.log.Write(run)
}

// writeHalf promises the whole answer, sends half of it and breaks the
// connection.
func writeHalf(w http.ResponseWriter, answer []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer[:len(answer)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func identityOf(r *http.Request, body []byte) string {
	if id := r.URL.Query().Get("Id"); id != "" {
		return id
	}
	var known identity
	if err := json.Unmarshal(body, &known); err != nil {
		return ""
	}
	return known.ID
}

// headerLines returns all lines that came with the request, the host and the
// trailers included.
func headerLines(r *http.Request) []record.Header {
	lines := []record.Header{{Name: "Host", Value: r.Host}}
	for _, group := range []http.Header{r.Header, r.Trailer} {
		for name, values := range group {
			for _, value := range values {
				lines = append(lines, record.Header{Name: name, Value: value})
			}
		}
	}
	sort.Slice(lines, func(i, j int) bool { return lines[i].Name < lines[j].Name })
	return lines
}
