package plat_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/platform/kvapi"
	"github.com/greengagewind/greengagewind/stand/plat"
)

func newStore(t *testing.T) (*plat.Store, *kvapi.Client) {
	t.Helper()
	s := plat.NewStore()
	server := httptest.NewServer(s.Handler())
	stop := make(chan struct{})
	go s.Run(stop)
	t.Cleanup(func() {
		close(stop)
		server.Close()
	})
	return s, kvapi.New(server.Listener.Addr().String(), zap.NewNop())
}

func TestClientWritesAndReads(t *testing.T) {
	ctx := context.Background()
	_, c := newStore(t)
	e, err := c.Get(ctx, "gage/x")
	assert.NilError(t, err)
	assert.Equal(t, e.Revision, int64(0))
	assert.NilError(t, c.Put(ctx, "gage/x", []byte{0, 255}))
	e, err = c.Get(ctx, "gage/x")
	assert.NilError(t, err)
	assert.DeepEqual(t, e.Value, []byte{0, 255})
	current, swapped, err := c.Swap(ctx, "gage/x", e.Revision+1, []byte("late"), 0)
	assert.NilError(t, err)
	assert.Assert(t, !swapped)
	assert.DeepEqual(t, current, e)
	_, swapped, err = c.Swap(ctx, "gage/x", e.Revision, []byte("next"), 0)
	assert.NilError(t, err)
	assert.Assert(t, swapped)
	assert.NilError(t, c.Delete(ctx, "gage/x"))
	assert.Assert(t, c.Put(ctx, "op/config", nil) != nil, "only operators may write below op/")
}

// A response outside HTTP, or an empty one that should hold something, is an error. In
// particular, it does not read as an empty store.
func TestOddResponsesOfTheStoreAreErrors(t *testing.T) {
	cases := map[string]string{
		"status 000":           "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\n{}",
		"blank in a name":      "HTTP/1.1 200 OK\r\nX Odd: a\r\nContent-Length: 2\r\n\r\n{}",
		"blank after the era":  "HTTP/1.1 200 OK\r\nStore-Era : 7\r\nContent-Length: 2\r\n\r\n{}",
		"blank after a coding": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 2\r\n\r\n{}",
		"no body":              "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"cut off at the start": "HTTP/1.1 200 OK\r\n\r\n",
		"header without end":   "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Long: 0123456789\r\n", 8<<10) + "Content-Length: 2\r\n\r\n{}",
	}
	for name, response := range cases {
		t.Run(name, func(t *testing.T) {
			c := kvapi.New(serveRaw(t, response), zap.NewNop())
			ctx := context.Background()
			_, _, err := c.List(ctx, "op/")
			assert.Assert(t, err != nil, "List")
			_, _, err = c.Poll(ctx, "op/", 1, time.Millisecond)
			assert.Assert(t, err != nil, "Poll")
			_, _, err = c.Swap(ctx, "gage/x", 1, nil, 0)
			assert.Assert(t, err != nil, "Swap")
			_, err = c.Grant(ctx, time.Second)
			assert.Assert(t, err != nil, "Grant")
		})
	}
}

// serveRaw starts a server that answers the first request of each connection with a text and
// closes the connection. It returns its address.
func serveRaw(t *testing.T, response string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.Copy(io.Discard, r.Body)
					_, _ = io.WriteString(c, response)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

func TestClientReadsAllPages(t *testing.T) {
	ctx := context.Background()
	s, c := newStore(t)
	const items = 1203
	for i := range items {
		s.Put(fmt.Sprintf("gage/%04d", i), []byte("x"))
	}
	entries, at, err := c.List(ctx, "gage/")
	assert.NilError(t, err)
	assert.Equal(t, len(entries), items)
	assert.DeepEqual(t, at, gage.StorePosition{Era: 1, Revision: entries[items-1].Revision})
}

func TestClientPollsForChanges(t *testing.T) {
	ctx := context.Background()
	s, c := newStore(t)
	revision := s.Put("op/a", []byte("1"))
	changes, at, err := c.Poll(ctx, "op/", revision, time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, len(changes), 0)
	assert.DeepEqual(t, at, gage.StorePosition{Era: 1, Revision: revision})
	s.Put("op/b", nil)
	s.Remove("op/a")
	changes, at, err = c.Poll(ctx, "op/", revision, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(changes), 2)
	assert.Assert(t, changes[0].Value != nil, "an empty value is not a deletion")
	assert.Assert(t, changes[1].Value == nil)
	s.Compact()
	_, _, err = c.Poll(ctx, "op/", revision, time.Second)
	assert.Assert(t, errors.Is(err, gage.ErrCompacted))
	_, _, err = c.Poll(ctx, "op/", at.Revision, time.Millisecond)
	assert.NilError(t, err)
}

func TestClientReadsTheEra(t *testing.T) {
	ctx := context.Background()
	s, c := newStore(t)
	older := s.Copy()
	id, err := c.Grant(ctx, time.Minute)
	assert.NilError(t, err)
	assert.NilError(t, c.Put(ctx, "gage/x", []byte("lost")))
	_, lost, err := c.List(ctx, "gage/")
	assert.NilError(t, err)
	watch := make(chan error)
	go func() {
		_, _, err := c.Poll(ctx, "op/", lost.Revision, time.Minute)
		watch <- err
	}()
	time.Sleep(20 * time.Millisecond)
	s.Restore(older)
	assert.Assert(t, <-watch != nil, "a watch does not outlive the era")
	entries, at, err := c.List(ctx, "gage/")
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 0)
	assert.Assert(t, at.Era > lost.Era && at.Revision < lost.Revision, "%v after %v", at, lost)
	_, _, err = c.Poll(ctx, "op/", lost.Revision, time.Millisecond)
	assert.Assert(t, errors.Is(err, gage.ErrCompacted))
	held, err := c.KeepAlive(ctx, id)
	assert.NilError(t, err)
	assert.Assert(t, !held, "a lease does not outlive the era")
}

func TestClientRefusesAnUnreadableEra(t *testing.T) {
	for _, era := range []string{"two", "-1", "1.5", "99999999999999999999"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Store-Era", era)
			_, _ = w.Write([]byte(`{"items":[],"at":3}`))
		}))
		_, _, err := kvapi.New(server.Listener.Addr().String(), zap.NewNop()).List(t.Context(), "op/")
		assert.ErrorContains(t, err, "whole number")
		server.Close()
	}
}

// One odd entry cost a node the whole page, and with it all documents and addresses.
func TestOddEntryOfAPageCostsItselfAlone(t *testing.T) {
	odd := map[string]string{
		"value is no base64":    `{"key":"op/b","value":"%%%","revision":2}`,
		"revision is no number": `{"key":"op/b","value":"Mg==","revision":"2"}`,
		"revision is too large": `{"key":"op/b","value":"Mg==","revision":1e30}`,
		"no object":             `[[[]]]`,
		"nested":                `{"key":"op/b","value":` + strings.Repeat("[", 2000) + strings.Repeat("]", 2000) + `}`,
		"value of another type": `{"key":"op/b","value":{"a":1},"revision":2}`,
		"no key":                `{"value":"Mg==","revision":2}`,
	}
	for name, entry := range odd {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				items := `[{"key":"op/a","value":"MQ==","revision":1},` + entry + `,{"key":"op/c","value":"Mw==","revision":3}]`
				_, _ = io.WriteString(w, `{"items":`+items+`,"events":`+items+`,"at":3}`)
			}))
			defer server.Close()
			c := kvapi.New(server.Listener.Addr().String(), zap.NewNop())
			listed, _, err := c.List(t.Context(), "op/")
			assert.NilError(t, err)
			polled, _, err := c.Poll(t.Context(), "op/", 0, time.Millisecond)
			assert.NilError(t, err)
			for _, entries := range [][]gage.Entry{listed, polled} {
				assert.Equal(t, len(entries), 2)
				assert.Equal(t, entries[0].Key+entries[1].Key, "op/aop/c")
			}
		})
	}
}

func TestClientKeepsLeasesAlive(t *testing.T) {
	ctx := context.Background()
	_, c := newStore(t)
	id, err := c.Grant(ctx, time.Minute)
	assert.NilError(t, err)
	_, swapped, err := c.Swap(ctx, "gage/held", 0, []byte("x"), id)
	assert.NilError(t, err)
	assert.Assert(t, swapped)
	held, err := c.KeepAlive(ctx, id)
	assert.NilError(t, err)
	assert.Assert(t, held)
	assert.NilError(t, c.Revoke(ctx, id))
	held, err = c.KeepAlive(ctx, id)
	assert.NilError(t, err)
	assert.Assert(t, !held)
	e, err := c.Get(ctx, "gage/held")
	assert.NilError(t, err)
	assert.Equal(t, e.Revision, int64(0))
}

// The client must not retry a call whose answer is lost, since the store may have
// carried it out. net/http retries some requests by default.
func TestLostAnswersAreErrors(t *testing.T) {
	ctx := context.Background()
	s, c := newStore(t)
	assert.NilError(t, c.Put(ctx, "gage/x", []byte("1")))
	s.SetFault(plat.StoreLosesAnswers)
	before := s.Calls()
	assert.Assert(t, c.Put(ctx, "gage/x", []byte("2")) != nil)
	assert.Equal(t, s.Calls(), before+1)
	s.SetFault(plat.StoreHealthy)
	e, err := c.Get(ctx, "gage/x")
	assert.NilError(t, err)
	assert.Equal(t, string(e.Value), "2")
}
