package store_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/transport/etcd"
	"github.com/greengagewind/greengagewind/stand/store"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "30", "rapid.checks": "40"} {
		set := false
		flag.Visit(func(f *flag.Flag) { set = set || f.Name == name })
		if !set {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// fixture is a running store and a client connected to it.
type fixture struct {
	client *etcd.Client
	// control is the base URL of the control interface.
	control string
}

// start starts a store that stops at the end of the test.
func start(t *testing.T) fixture {
	t.Helper()
	server := store.New(1)
	ctx, cancel := context.WithCancel(context.Background())
	calls := httptest.NewServer(server.Handler())
	control := httptest.NewServer(server.Control())
	go server.Expire(ctx)
	t.Cleanup(func() {
		cancel()
		calls.CloseClientConnections()
		calls.Close()
		control.Close()
	})
	return fixture{client: etcd.New([]string{calls.URL}), control: control.URL}
}

func (s fixture) post(t testing.TB, path string, body any) {
	t.Helper()
	text, err := json.Marshal(body)
	assert.NilError(t, err)
	response, err := http.Post(s.control+path, "application/json", bytes.NewReader(text))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusNoContent)
}

func (s fixture) counts(t *testing.T) store.Counts {
	t.Helper()
	response, err := http.Get(s.control + "/counts")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	var counts store.Counts
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&counts))
	return counts
}

func TestSwapMatchesModel(t *testing.T) {
	s := start(t)
	model := make(map[string]gage.Entry)
	var last int64
	rapid.Check(t, func(rt *rapid.T) {
		key := "/k/" + rapid.StringOfN(rapid.RuneFrom([]rune("ab")), 1, 2, -1).Draw(rt, "Key")
		stored := model[key]
		base := stored.Revision + int64(rapid.SampledFrom([]int{0, 0, 0, 1, -1}).Draw(rt, "Off"))
		value := []byte(rapid.String().Draw(rt, "Value"))
		lose := rapid.Bool().Draw(rt, "Lose")
		if lose {
			s.post(t, "/fault", store.Fault{Mode: store.FaultLoseAnswers})
		}
		e, swapped, err := s.client.Swap(t.Context(), key, base, value, 0)
		s.post(t, "/fault", store.Fault{Mode: store.FaultNone})
		if lose {
			assert.ErrorIs(t, err, etcd.ErrNoAnswer)
			// The write took effect although its answer was lost.
			e, err = s.client.Get(t.Context(), key)
			swapped = e.Revision != stored.Revision
		}
		assert.NilError(t, err)
		assert.Equal(t, swapped, base == stored.Revision)
		if swapped {
			assert.Assert(t, e.Revision > last)
			last = e.Revision
			model[key] = gage.Entry{Key: key, Value: value, Revision: e.Revision}
		}
		assert.Equal(t, e.Revision, model[key].Revision)
		assert.Assert(t, bytes.Equal(e.Value, model[key].Value))
		entries, at, err := s.client.List(t.Context(), "/k/")
		assert.NilError(t, err)
		assert.Equal(t, at.Revision, max(last, 1))
		assert.Equal(t, len(entries), len(model))
		for _, listed := range entries {
			assert.Equal(t, listed.Revision, model[listed.Key].Revision)
		}
	})
}

func TestListKeysOmitsValues(t *testing.T) {
	s := start(t)
	_, _, err := s.client.Swap(t.Context(), "/k/a", 0, []byte("value"), 0)
	assert.NilError(t, err)
	_, _, err = s.client.Swap(t.Context(), "/other", 0, []byte("value"), 0)
	assert.NilError(t, err)
	entries, _, err := s.client.ListKeys(t.Context(), "/k/")
	assert.NilError(t, err)
	assert.DeepEqual(t, entries, []gage.Entry{{Key: "/k/a", Revision: 2}})
}

func TestValueLimit(t *testing.T) {
	s := start(t)
	_, swapped, err := s.client.Swap(t.Context(), "/k", 0, make([]byte, gage.MaxValueBytes), 0)
	assert.NilError(t, err)
	assert.Assert(t, swapped)
	_, _, err = s.client.Swap(t.Context(), "/l", 0, make([]byte, gage.MaxValueBytes+1), 0)
	assert.ErrorContains(t, err, "too large")
}

func TestExpiredLeaseDeletesItsKeys(t *testing.T) {
	s := start(t)
	lease, err := s.client.Grant(t.Context(), time.Minute)
	assert.NilError(t, err)
	_, _, err = s.client.Swap(t.Context(), "/k", 0, nil, lease)
	assert.NilError(t, err)
	alive, err := s.client.KeepAlive(t.Context(), lease)
	assert.NilError(t, err)
	assert.Assert(t, alive)
	s.post(t, "/lapse", store.LapseRequest{Lease: int64(lease)})
	alive, err = s.client.KeepAlive(t.Context(), lease)
	assert.NilError(t, err)
	assert.Assert(t, !alive)
	e, err := s.client.Get(t.Context(), "/k")
	assert.NilError(t, err)
	assert.Equal(t, e.Revision, int64(0))
	assert.NilError(t, s.client.Revoke(t.Context(), lease))
	_, _, err = s.client.Swap(t.Context(), "/k", 0, nil, lease)
	assert.ErrorContains(t, err, "lease not found")
}

func TestLeaseExpiresWithoutKeepAlive(t *testing.T) {
	s := start(t)
	lease, err := s.client.Grant(t.Context(), time.Second)
	assert.NilError(t, err)
	_, _, err = s.client.Swap(t.Context(), "/k", 0, nil, lease)
	assert.NilError(t, err)
	deleted := make(chan gage.Entry, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = s.client.Watch(ctx, "/k", 2, func(e gage.Entry) { deleted <- e }) }()
	assert.DeepEqual(t, <-deleted, gage.Entry{Key: "/k"})
}

func TestWatchReportsPastAndNewChanges(t *testing.T) {
	s := start(t)
	swap := func(key string, revision int64) int64 {
		e, swapped, err := s.client.Swap(t.Context(), key, revision, []byte(key), 0)
		assert.NilError(t, err)
		assert.Assert(t, swapped)
		return e.Revision
	}
	first := swap("/k/a", 0)
	swap("/other", 0)
	second := swap("/k/b", 0)
	revisions := make(chan int64, 10)
	ended := make(chan error, 1)
	go func() {
		ended <- s.client.Watch(t.Context(), "/k/", first, func(e gage.Entry) { revisions <- e.Revision })
	}()
	assert.Equal(t, <-revisions, second)
	assert.Equal(t, s.counts(t).Waiting, int64(1))
	third := swap("/k/a", first)
	assert.Equal(t, <-revisions, third)
	s.post(t, "/fault", store.Fault{Mode: store.FaultDown})
	assert.ErrorIs(t, <-ended, etcd.ErrNoAnswer)
	_, err := s.client.Get(t.Context(), "/k/a")
	assert.ErrorIs(t, err, etcd.ErrNoAnswer)
	s.post(t, "/fault", store.Fault{Mode: store.FaultNone})
	// The circuit breaker of the client's HTTP library is disabled: the first call
	// after an outage succeeds.
	e, err := s.client.Get(t.Context(), "/k/a")
	assert.NilError(t, err)
	assert.Equal(t, e.Revision, third)
}

func TestClientSendsEveryCallDuringLongOutage(t *testing.T) {
	s := start(t)
	s.post(t, "/fault", store.Fault{Mode: store.FaultDown})
	before := s.counts(t).Range
	for range 200 {
		_, err := s.client.Get(t.Context(), "/k")
		assert.ErrorIs(t, err, etcd.ErrNoAnswer)
	}
	assert.Equal(t, s.counts(t).Range, before+200)
	s.post(t, "/fault", store.Fault{Mode: store.FaultNone})
	for range 20 {
		_, err := s.client.Get(t.Context(), "/k")
		assert.NilError(t, err)
	}
}

func TestSlowWriteTakesEffectAfterClientTimeout(t *testing.T) {
	s := start(t)
	s.post(t, "/fault", store.Fault{Mode: store.FaultSlow, DelayMillis: 300})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, _, err := s.client.Swap(ctx, "/k", 0, []byte("late"), 0)
	assert.ErrorIs(t, err, etcd.ErrNoAnswer)
	s.post(t, "/fault", store.Fault{Mode: store.FaultNone})
	for {
		e, err := s.client.Get(t.Context(), "/k")
		assert.NilError(t, err)
		if e.Revision != 0 {
			assert.Equal(t, string(e.Value), "late")
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestClientDoesNotRetryAfterLostAnswer(t *testing.T) {
	s := start(t)
	_, err := s.client.Get(t.Context(), "/k")
	assert.NilError(t, err)
	s.post(t, "/fault", store.Fault{Mode: store.FaultLoseAnswers})
	_, _, err = s.client.Swap(t.Context(), "/k", 0, []byte("once"), 0)
	assert.ErrorIs(t, err, etcd.ErrNoAnswer)
	assert.Equal(t, s.counts(t).Txn, int64(1))
}

func TestControlRejectsUnknownFaultMode(t *testing.T) {
	s := start(t)
	response, err := http.Post(s.control+"/fault", "application/json", strings.NewReader(`{"Mode":"Broken"}`))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusBadRequest)
}

func TestOneOfConcurrentSwapsSucceeds(t *testing.T) {
	s := start(t)
	var swaps sync.WaitGroup
	won := make(chan bool, 20)
	for range 20 {
		swaps.Go(func() {
			_, swapped, err := s.client.Swap(t.Context(), "/k", 0, []byte("x"), 0)
			won <- swapped && err == nil
		})
	}
	swaps.Wait()
	close(won)
	winners := 0
	for w := range won {
		if w {
			winners++
		}
	}
	assert.Equal(t, winners, 1)
}

func TestRunStopsWhenItsContextEnds(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- store.Run(ctx, &store.Options{Listen: "127.0.0.1:0", Control: "127.0.0.1:0", Logger: zap.NewNop()})
	}()
	cancel()
	assert.NilError(t, <-ended)
}

// A response outside HTTP may have been a part of another one.
func TestOddResponsesAreNoAnswer(t *testing.T) {
	for _, line := range []string{"Content-Length : 90", "X Odd: a"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n{\"header\":{\"revision\":\"7\"}}"))
				_ = c.Close()
			}
		}))
		_, _, err := etcd.New([]string{server.URL}).List(context.Background(), "gage/")
		assert.ErrorIs(t, err, etcd.ErrNoAnswer, line)
		server.Close()
	}
}
