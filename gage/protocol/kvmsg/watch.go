package kvmsg

// EventType is the kind of change of a key.
type EventType string

// The event types. An event without a type is an EventPut.
const (
	EventPut    EventType = "PUT"
	EventDelete EventType = "DELETE"
)

// WatchRequest opens a watch.
type WatchRequest struct {
	CreateRequest WatchCreateRequest `json:"create_request"`
}

// WatchCreateRequest selects the keys to watch. Key and RangeEnd have the same
// meaning as in RangeRequest.
type WatchCreateRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	// StartRevision is the first revision to report. With 0, the watch reports
	// only changes made after it was created.
	StartRevision int64 `json:"start_revision,string,omitempty"`
}

// Event is one change of a key. For a deleted key, only Key and ModRevision of Kv
// are set.
type Event struct {
	Type EventType `json:"type,omitempty"`
	Kv   KeyValue  `json:"kv"`
}

// WatchResponse is one message of a watch.
type WatchResponse struct {
	Header  Header `json:"header"`
	Created bool   `json:"created,omitempty"`
	// Canceled means that the store has ended the watch.
	Canceled bool `json:"canceled,omitempty"`
	// CompactRevision is set if the store has compacted the history at
	// StartRevision and can no longer report it.
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// WatchLine is one line of the stream that answers a WatchRequest.
type WatchLine struct {
	Result *WatchResponse `json:"result,omitempty"`
	Error  *Error         `json:"error,omitempty"`
}
