package oper

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/protocol/oper"
)

const (
	// applyTimeout is the maximum time to apply a file. After it the outcome is
	// unknown, and the operator's client has to determine it.
	applyTimeout = 10 * time.Second
	// maxApplyBytes is the maximum size of a request: the largest configuration
	// file in base64, and 64 KiB for the other fields.
	maxApplyBytes = gage.MaxValueBytes/3*4 + 64<<10
)

// serveApply applies the configuration file in the request and writes the result.
func serveApply(w http.ResponseWriter, r *http.Request, node Node) {
	var request oper.ApplyRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxApplyBytes)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout)
	defer cancel()
	writeJSON(w, node.Apply(ctx, request))
}
