package fleet_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/ggw/fleet"
)

func TestClientStatusAndExplain(t *testing.T) {
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.EscapedPath() {
		case "/v1/status":
			_, _ = w.Write([]byte(`{"VM":"vm-1","Generation":4,"Members":[{"VM":"vm-2","Phase":"Alive"}]}`))
		case "/v1/explain/vm-1.a%2Fb":
			_, _ = w.Write([]byte(`{"RequestID":"vm-1.a/b","Events":[{"VM":"vm-1","Event":"Refused","Reason":"OverRate"}]}`))
		case "/v1/explain/vm-1.broken":
			_, _ = w.Write([]byte(`{"Events":[{"VM":`))
		default:
			http.NotFound(w, r)
		}
	}))
	defer node.Close()
	ctx, client := context.Background(), fleet.New()
	address := strings.TrimPrefix(node.URL, "http://")

	status, err := client.Status(ctx, address)
	assert.NilError(t, err)
	assert.Equal(t, status.Generation, int64(4))
	assert.Equal(t, status.Members[0].VM, "vm-2")
	explanation, err := client.Explain(ctx, node.URL+"/", "vm-1.a/b")
	assert.NilError(t, err)
	assert.Equal(t, string(explanation.Events[0].Reason), "OverRate")
	_, err = client.Explain(ctx, address, "vm-1.broken")
	assert.ErrorContains(t, err, "decode the response of node "+address)
	_, err = client.Explain(ctx, address, "vm-1.other")
	assert.ErrorContains(t, err, "unexpected status 404 Not Found for GET /v1/explain/vm-1.other")
}

func TestHeaderNameWithABlankIsAnError(t *testing.T) {
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length : 40\r\n\r\n{\"VM\":\"vm-1\"}"))
			_ = c.Close()
		}
	}))
	defer node.Close()
	_, err := fleet.New().Status(context.Background(), node.URL)
	assert.ErrorContains(t, err, "Content-Length ")
}
