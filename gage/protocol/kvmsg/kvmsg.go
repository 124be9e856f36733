// Package kvmsg defines the JSON messages of the store, in the published JSON
// format of the etcd v3 API. The JSON field names are those of etcd. Keys and
// values are encoded in base64 and 64-bit numbers as strings. Fields whose value
// is zero may be omitted.
package kvmsg

// The URL paths of the API calls.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// Header is part of every response.
type Header struct {
	// Revision is the current revision of the store. It increases with each
	// change of any key.
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is one key of the store with its value and metadata.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	// ModRevision is the revision of the store at the last change of the key.
	ModRevision int64 `json:"mod_revision,string,omitempty"`
	// Version counts the changes of the key since it was created.
	Version int64  `json:"version,string,omitempty"`
	Value   []byte `json:"value,omitempty"`
	Lease   int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads one key or, if RangeEnd is set, all keys from Key up to but
// not including RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	KeysOnly bool   `json:"keys_only,omitempty"`
}

// RangeResponse holds the keys that a RangeRequest selects.
type RangeResponse struct {
	Header Header     `json:"header"`
	Kvs    []KeyValue `json:"kvs,omitempty"`
	Count  int64      `json:"count,string,omitempty"`
}

// PutRequest writes a key inside a transaction.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// PutResponse answers a PutRequest.
type PutResponse struct {
	Header Header `json:"header"`
}

// CompareResult is the relation that a Compare tests.
type CompareResult string

// CompareTarget is the attribute of a key that a Compare tests.
type CompareTarget string

// The only comparison in use tests that the key was last changed at the revision
// Compare.ModRevision. A ModRevision of 0 means that the key does not exist.
const (
	CompareEqual       CompareResult = "EQUAL"
	CompareModRevision CompareTarget = "MOD"
)

// Compare is a condition of a transaction.
type Compare struct {
	Key         []byte        `json:"key"`
	Target      CompareTarget `json:"target"`
	Result      CompareResult `json:"result"`
	ModRevision int64         `json:"mod_revision,string"`
}

// RequestOp is one operation of a transaction. Exactly one field is set.
type RequestOp struct {
	RequestPut   *PutRequest   `json:"request_put,omitempty"`
	RequestRange *RangeRequest `json:"request_range,omitempty"`
}

// ResponseOp answers the RequestOp at the same position.
type ResponseOp struct {
	ResponsePut   *PutResponse   `json:"response_put,omitempty"`
	ResponseRange *RangeResponse `json:"response_range,omitempty"`
}

// TxnRequest runs the operations in Success if every Compare holds, and those in
// Failure otherwise.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse answers a TxnRequest. Succeeded is true if the operations in
// Success ran. Responses holds the results of the operations that ran.
type TxnResponse struct {
	Header    Header       `json:"header"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// Error is the body of a response with a status other than 200. The last line of
// a stream may also hold one.
type Error struct {
	Error   string `json:"error,omitempty"`
	Code    int    `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}

// PrefixEnd returns the RangeEnd that, with prefix as Key, selects every key that
// starts with prefix.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
