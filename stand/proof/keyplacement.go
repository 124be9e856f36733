package proof

import (
	"encoding/base64"
	"net/http"
	"net/url"

	"github.com/greengagewind/greengagewind/gage/protocol/header"
)

const openPath = "/search/about"

// keyPlacementRequests returns requests that carry a key in each part of a
// request, such as the query, the body or a header. The node may refuse or
// forward most of them, but no target may receive the key.
func keyPlacementRequests(h *Harness) []customRequest {
	key, otherKey := h.Keys[ownWorkspace], h.Keys[otherWorkspace]
	escaped := ""
	for _, char := range []byte(key) {
		escaped += "%" + string("0123456789ABCDEF"[char>>4]) + string("0123456789ABCDEF"[char&15])
	}
	basic := base64.StdEncoding.EncodeToString([]byte("user:" + key))
	requests := []customRequest{
		{Name: "query", Query: "key=" + key},
		{Name: "query-escaped", Query: "key=" + escaped},
		{Name: "query-name", Query: key + "=1"},
		{Name: "query-other", Query: "key=" + otherKey},
		{Name: "path", URL: "/" + key},
		{Name: "path-escaped", URL: "/" + escaped},
		{Name: "body", Method: http.MethodPost, URL: lodgeRequest.Path, Pad: key},
		{Name: "body-amid", Method: http.MethodPost, URL: lodgeRequest.Path, Pad: "x" + key + "x"},
		{Name: "body-get", Pad: key},
		{Name: "trailer", Method: http.MethodPost, URL: lodgeRequest.Path, Trailer: http.Header{"X-Key": {key}}},
		{Name: "host", Host: key},
		{Name: "user-agent", Header: http.Header{"User-Agent": {"client/" + key}}},
		{Name: "basic", Header: http.Header{"Proxy-Authorization": {"Basic " + basic}}},
		{Name: "name", Header: http.Header{http.CanonicalHeaderKey("X-" + key): {"1"}}},
		{Name: "repeated", Header: http.Header{"X-Key": {"no", key}}},
	}
	for _, name := range []string{
		"X-Api-Key", "Cookie", header.IdempotencyKey, header.TraceParent, "Tracestate", "Referer", "Accept",
		"X-Forwarded-For", "Gage-Key", header.Workspace, header.TimeoutMillis, "Content-Type", "Te", "Connection",
	} {
		requests = append(requests, customRequest{Name: "header-" + name, Header: http.Header{name: {key}}})
	}
	return append(withKey(requests, key), withoutKey(requests, key)...)
}

// withKey returns the requests with the key in the Authorization header. Requests
// without a method become search requests.
func withKey(requests []customRequest, key string) []customRequest {
	var all []customRequest
	for _, request := range requests {
		request.Key, request.Workspace = key, ownWorkspace
		if request.Method == "" {
			request.Method = http.MethodGet
			request.URL = searchRequest.Path + request.URL
		}
		all = append(all, request)
	}
	return all
}

// withoutKey returns each request without the Authorization header, addressed to a
// route that requires a key, where it must be refused. For requests without a
// method, it adds two to an open route, which requires no key: one without and one
// with the Authorization header.
func withoutKey(requests []customRequest, key string) []customRequest {
	var all []customRequest
	for _, request := range requests {
		closed := request
		closed.Name, closed.MustRefuse = "closed-"+request.Name, true
		if closed.Method == "" {
			closed.Method, closed.URL = http.MethodGet, searchRequest.Path+request.URL
		}
		all = append(all, closed)
		if request.Method != "" {
			continue
		}
		open := request
		open.Name, open.Method, open.URL = "open-"+request.Name, http.MethodGet, openPath+request.URL
		all = append(all, open)
		// A caller may send its key with a request that does not require one.
		open.Name, open.Key = "open-keyed-"+request.Name, key
		all = append(all, open)
	}
	return all
}

// forgedRequests returns requests with headers that only nodes may set, with
// invalid keys, or with paths that try to reach another route.
func forgedRequests(h *Harness) []customRequest {
	forgedHeaders := http.Header{
		header.Workspace:      {otherWorkspace},
		header.Context:        {"made-up"},
		header.RequestID:      {"a1.forged"},
		header.Attempt:        {"7"},
		header.Importance:     {"Critical"},
		header.NotRun:         {"true"},
		header.Outcome:        {"Ran"},
		header.DeadlineMillis: {"99999999"},
		"Gage-Depth":          {"0"},
		"gage-workspace":      {otherWorkspace},
	}
	connectionHeaders := http.Header{"Connection": {"Gage-Workspace, Gage-Request-Id"}, header.Workspace: {otherWorkspace}}
	key := h.Keys[ownWorkspace]
	return []customRequest{
		{Name: "claims", Method: http.MethodGet, URL: searchRequest.Path, Key: key, Workspace: ownWorkspace, Header: forgedHeaders},
		{Name: "claims-post", Method: http.MethodPost, URL: lodgeRequest.Path, Key: key, Workspace: ownWorkspace, Header: forgedHeaders},
		{Name: "claims-hop", Method: http.MethodGet, URL: searchRequest.Path, Key: key, Workspace: ownWorkspace, Header: connectionHeaders},
		{Name: "claims-open", Method: http.MethodGet, URL: openPath, Header: forgedHeaders},
		{Name: "claims-unkeyed", Method: http.MethodGet, URL: searchRequest.Path, Header: forgedHeaders, MustRefuse: true},
		{Name: "wrong-key", Method: http.MethodGet, URL: searchRequest.Path, Key: key + "x", Header: forgedHeaders, MustRefuse: true},
		{
			Name: "digest-as-key", Method: http.MethodGet, URL: searchRequest.Path, MustRefuse: true,
			Key: "sha256:003b37eb9ad614065dac4c18da31edee93c73c1d78519d88c92a8dffe0b40c78",
		},
		{Name: "internal-route", Method: http.MethodPost, URL: "/custody/transfer", Key: key, Workspace: ownWorkspace, MustRefuse: true},
		{Name: "dots", Method: http.MethodPost, URL: "/custody/lodge/../transfer", Key: key, Workspace: ownWorkspace, MustRefuse: true},
		{Name: "open-dots", Method: http.MethodGet, URL: openPath + "/../capsules", MustRefuse: true},
		{Name: "open-escaped", Method: http.MethodGet, URL: openPath + "/" + url.PathEscape("../capsules"), MustRefuse: false},
		{
			Name: "two-keys", Method: http.MethodGet, URL: searchRequest.Path, MustRefuse: true,
			Header: http.Header{header.Authorization: {"Bearer " + key, "Bearer " + h.Keys[otherWorkspace]}},
		},
	}
}
