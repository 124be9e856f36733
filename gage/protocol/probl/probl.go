// Package probl represents refused and failed requests as problem details
// objects (RFC 9457).
package probl

import (
	"net/http"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// ContentType is the media type of a Body.
const ContentType = "application/problem+json"

const typePrefix = "https://greengagewind.example/problems/"

// Body is a problem details object. The fields from Outcome on are extension
// members of this project.
type Body struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Outcome states whether a target ran the request.
	Outcome gage.Outcome
	// Reason is the machine-readable cause of the refusal or failure.
	Reason    gage.Reason
	RequestId string
	// RetryAfterMillis is how long the caller should wait before a retry. It is
	// 0 if no wait is advised.
	RetryAfterMillis int64
}

// New returns the body for a result without an answer from a target.
func New(requestID string, r gage.Result) Body {
	status := Status(r)
	return Body{
		Type:             typePrefix + string(r.Reason),
		Title:            http.StatusText(status),
		Status:           status,
		Detail:           r.Detail,
		Outcome:          r.Outcome,
		Reason:           r.Reason,
		RequestId:        requestID,
		RetryAfterMillis: int64(r.RetryAfter / time.Millisecond),
	}
}

// Status returns the HTTP status of a refusal or failure.
func Status(r gage.Result) int {
	switch r.Reason {
	case gage.ReasonNoKey, gage.ReasonUnknownKey:
		return http.StatusUnauthorized
	case gage.ReasonBadToken:
		return http.StatusForbidden
	case gage.ReasonNoRoute:
		return http.StatusNotFound
	case gage.ReasonBadRequest:
		return http.StatusBadRequest
	case gage.ReasonTooLarge:
		return tooLargeStatus(r.Outcome)
	case gage.ReasonOverRate:
		return http.StatusTooManyRequests
	case gage.ReasonDuplicate, gage.ReasonDuplicateUnknown, gage.ReasonRetryNotRepeating:
		return http.StatusConflict
	case gage.ReasonDeadline:
		return http.StatusGatewayTimeout
	case gage.ReasonTargetFailed, gage.ReasonPeerFailed:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

func tooLargeStatus(o gage.Outcome) int {
	if o == gage.OutcomeNotRun {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadGateway
}
