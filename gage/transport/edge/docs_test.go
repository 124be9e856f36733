package edge_test

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage/protocol/header"
	"github.com/greengagewind/greengagewind/gage/transport/clock"
	"github.com/greengagewind/greengagewind/gage/transport/edge"
)

const (
	docsFile    = "../../../docs/API.md"
	callerPort  = "7001"
	targetPort  = "7002"
	minExamples = 6
)

// shellWord matches one shell word, which is either quoted or has no white space.
var shellWord = regexp.MustCompile(`"([^"]*)"|'([^']*)'|(\S+)`)

// curlExamples returns the requests that the curl commands of a page send.
func curlExamples(t *testing.T, page string) []*http.Request {
	t.Helper()
	joined := strings.ReplaceAll(page, "\\\n", " ")
	var requests []*http.Request
	for _, line := range strings.Split(joined, "\n") {
		if strings.HasPrefix(line, "curl ") {
			requests = append(requests, curlRequest(t, line))
		}
	}
	return requests
}

func curlRequest(t *testing.T, line string) *http.Request {
	t.Helper()
	var words []string
	for _, m := range shellWord.FindAllStringSubmatch(line, -1) {
		words = append(words, m[1]+m[2]+m[3])
	}
	method, body, address := "", "", ""
	headers := make(http.Header)
	for i := 1; i < len(words); i++ {
		switch words[i] {
		case "-i":
		case "-X":
			i++
			method = words[i]
		case "-H":
			i++
			name, value, ok := strings.Cut(words[i], ": ")
			assert.Assert(t, ok, words[i])
			headers.Set(name, value)
		case "-d":
			i++
			body = words[i]
		default:
			assert.Equal(t, address, "", line)
			address = words[i]
		}
	}
	if method == "" {
		method = http.MethodGet
	}
	_, err := url.Parse(address)
	assert.NilError(t, err)
	request := httptest.NewRequest(method, address, strings.NewReader(body))
	request.Header = headers
	return request
}

// TestCurlExamplesOfAPIDocumentation checks that every curl example of the API
// documentation is a valid request: the handler of the port in its URL answers with a
// status below 400.
func TestCurlExamplesOfAPIDocumentation(t *testing.T) {
	page, err := os.ReadFile(docsFile)
	assert.NilError(t, err)
	requests := curlExamples(t, string(page))
	assert.Assert(t, len(requests) >= minExamples)
	for _, request := range requests {
		t.Run(request.Method+request.URL.Path, func(t *testing.T) {
			r := newRecordingEntry()
			handlers := map[string]http.Handler{
				callerPort: edge.Callers(r, newID),
				targetPort: edge.Targets(r, r, clock.System{}, newID),
			}
			handler, ok := handlers[request.URL.Port()]
			assert.Assert(t, ok, request.URL.Port())
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, request)
			assert.Assert(t, w.Code < http.StatusBadRequest, "%d %s", w.Code, w.Body)
			if request.URL.Port() == callerPort {
				assert.Equal(t, r.arrival.Key, "$KEY")
			}
			if request.Header.Get(header.Context) != "" {
				assert.Equal(t, r.token, "$TOKEN")
			}
		})
	}
}
