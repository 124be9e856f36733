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

// Answer is the body of a successful answer of a target.
type Answer struct {
	// ID is the ID that the caller put into the request.
	ID     string `json:"Id"`
	Target string
	// ServiceMicros is the duration of the run, nested calls included.
	ServiceMicros int64
	// Nested holds the bodies of the nested answers, in the order of the calls.
	Nested []json.RawMessage
	// Pad is padding of Options.PadSize bytes.
	Pad string
}

// handler serves the requests that the node sends to the target.
type handler struct {
	opts         *Options
	capacity     *Capacity
	nestedCaller *nestedCaller
	runLog       *record.Writer
	pad          string
}

func newHandler(opts *Options, capacity *Capacity, client *http.Client, runLog *record.Writer) *handler {
	return &handler{
		opts:         opts,
		capacity:     capacity,
		nestedCaller: &nestedCaller{node: strings.TrimSuffix(opts.Node, "/"), client: client},
		runLog:       runLog,
		pad:          strings.Repeat("x", opts.PadSize),
	}
}

// ServeHTTP executes one request, or sheds it with 503 and the Gage-Not-Run
// header when slots and queue are full.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	w.Header().Set(header.Attempt, r.Header.Get(header.Attempt))
	body, err := io.ReadAll(io.LimitReader(r.Body, gage.MaxBodyBytes))
	if err != nil {
		return
	}
	startTime := time.Now()
	admission, ok := h.capacity.Begin(startTime)
	if !ok {
		w.Header().Set(header.NotRun, "true")
		http.Error(w, "no slot is free", http.StatusServiceUnavailable)
		return
	}
	run := h.newRun(r, body, admission, startTime)
	defer h.finishRun(&run)
	answer := h.execute(r, &run, admission)
	switch {
	case run.Result == record.ResultCanceled:
	case run.Result == record.ResultFailed:
		http.Error(w, "the run failed", http.StatusBadGateway)
	case admission.Truncate:
		run.Result = record.ResultTruncated
		writeTruncated(w, answer)
	default:
		run.Result = record.ResultDone
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = w.Write(answer)
	}
}

// newRun returns the run log entry of a request, without its result.
func (h *handler) newRun(r *http.Request, body []byte, admission Admission, startTime time.Time) record.Run {
	return record.Run{
		Target:      h.opts.Name,
		Service:     h.opts.Service,
		ID:          callerID(r, body),
		RequestID:   r.Header.Get(header.RequestID),
		Attempt:     r.Header.Get(header.Attempt),
		Workspace:   r.Header.Get(header.Workspace),
		Method:      r.Method,
		Path:        r.URL.Path,
		Query:       r.URL.RawQuery,
		StartMicros: startTime.UnixMicro(),
		Concurrency: admission.Concurrency,
		Cold:        admission.Cold,
		ColdSlots:   admission.ColdSlots,
		ColdMicros:  admission.ColdFor.Microseconds(),
		TurnedCold:  admission.TurnedCold,
		Header:      headerFields(r),
		Body:        string(body),
	}
}

// execute waits for the service time and makes the nested calls. It returns the
// encoded answer and leaves run.Result empty on success; otherwise it sets
// run.Result and returns nil.
func (h *handler) execute(r *http.Request, run *record.Run, admission Admission) []byte {
	timer := time.NewTimer(admission.Duration)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		run.Result = record.ResultCanceled
		return nil
	case <-timer.C:
	}
	if admission.Fail {
		run.Result = record.ResultFailed
		return nil
	}
	answer := Answer{ID: run.ID, Target: h.opts.Name, Nested: []json.RawMessage{}, Pad: h.pad}
	for _, call := range h.opts.NestedCalls {
		if !call.AppliesTo(r.Method, r.URL.Path) {
			continue
		}
		nestedRecord, nestedAnswer := h.nestedCaller.call(r.Context(), call, run.ID, r.Header.Get(header.Context))
		run.Nested = append(run.Nested, nestedRecord)
		if nestedRecord.Error != "" {
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

// finishRun releases the slot and writes the run to the run log.
func (h *handler) finishRun(run *record.Run) {
	h.capacity.End(run.Result == record.ResultCanceled)
	run.EndMicros = time.Now().UnixMicro()
	h.runLog.Write(run)
}

// writeTruncated declares the length of the whole answer, sends the first half of
// it and closes the connection.
func writeTruncated(w http.ResponseWriter, answer []byte) {
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer[:len(answer)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// callerID returns the ID that the caller put into the query or, failing that,
// into the body; "" when neither has one.
func callerID(r *http.Request, body []byte) string {
	if id := r.URL.Query().Get("Id"); id != "" {
		return id
	}
	var parsed idBody
	if err := json.Unmarshal(body, &parsed); err != nil {
		return ""
	}
	return parsed.ID
}

// headerFields returns all header fields of the request, including Host and the
// trailers, sorted by name.
func headerFields(r *http.Request) []record.Header {
	fields := []record.Header{{Name: "Host", Value: r.Host}}
	for _, group := range []http.Header{r.Header, r.Trailer} {
		for name, values := range group {
			for _, value := range values {
				fields = append(fields, record.Header{Name: name, Value: value})
			}
		}
	}
	sort.Slice(fields, func(i, j int) bool { return fields[i].Name < fields[j].Name })
	return fields
}
