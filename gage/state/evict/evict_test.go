package evict_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/greengagewind/greengagewind/gage/state/evict"
)

var start = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func open(t *testing.T, table *evict.Table, now time.Time, name string) *evict.Conn {
	t.Helper()
	c, evicted, ok := table.Open(now, name)
	assert.Assert(t, ok)
	assert.Equal(t, len(evicted), 0)
	return c
}

func names(conns []*evict.Conn) []string {
	var all []string
	for _, c := range conns {
		all = append(all, c.Value.(string))
	}
	return all
}

func TestTheSlowestIsClosedForANewConnection(t *testing.T) {
	table := evict.New(evict.Limits{Conns: 3, Requests: 3, Bytes: 1 << 30})
	open(t, table, at(0), "idle")
	working := open(t, table, at(0), "working")
	table.Resume(working, 0)
	begun := open(t, table, at(0), "begun")
	table.Begin(at(time.Second), begun)

	for _, slowest := range []string{"idle", "begun", "new"} {
		_, evicted, ok := table.Open(at(2*time.Second), "new")
		assert.Assert(t, ok)
		assert.DeepEqual(t, names(evicted), []string{slowest})
	}
}

func TestNoConnectionIsClosedWhileTheServerWorksForIt(t *testing.T) {
	table := evict.New(evict.Limits{Conns: 2, Requests: 2, Bytes: 1 << 30})
	for _, name := range []string{"a", "b"} {
		c := open(t, table, at(0), name)
		table.Resume(c, 0)
	}
	_, evicted, ok := table.Open(at(time.Hour), "new")
	assert.Assert(t, !ok)
	assert.Equal(t, len(evicted), 0)
	assert.Equal(t, table.Len(), 2)
}

// A wait that ends after its request must not make the next wait look like work.
func TestLateEndOfAWaitIsIgnored(t *testing.T) {
	table := evict.New(evict.Limits{Conns: 1, Requests: 1, Bytes: 1 << 30})
	c := open(t, table, at(0), "a")
	table.Resume(c, 0)
	request := table.Wait(c)
	table.Finish(at(time.Second), c)
	table.Resume(c, request)
	_, evicted, ok := table.Open(at(3*time.Second), "b")
	assert.Assert(t, ok)
	assert.DeepEqual(t, names(evicted), []string{"a"})
}

func TestMemoryThatDoesNotFitClosesTheSlowest(t *testing.T) {
	table := evict.New(evict.Limits{Conns: 10, Requests: 10, Bytes: 6 * evict.ConnBytes})
	slow := open(t, table, at(0), "slow")
	fast := open(t, table, at(time.Second), "fast")
	evicted, ok := table.Grow(fast, 2*evict.ConnBytes)
	assert.Assert(t, ok)
	assert.DeepEqual(t, names(evicted), []string{"slow"})
	_, ok = table.Grow(fast, 1)
	assert.Assert(t, !ok, "it is the slowest itself")
	assert.Equal(t, table.Bytes(), int64(3*evict.ConnBytes))
	table.Close(slow)
	table.Finish(at(3*time.Second), fast)
	assert.Equal(t, table.Bytes(), int64(evict.ConnBytes))
}

// A long header makes way for another one, an ordinary request that began before does not.
func TestShortHeadersOutliveLongOnes(t *testing.T) {
	table := evict.New(evict.Limits{Conns: 10, Requests: 10, Bytes: 2 * (10 << 20)})
	open(t, table, at(0), "short")
	long := open(t, table, at(time.Second), "long")
	longer := open(t, table, at(2*time.Second), "longer")
	_, ok := table.Grow(long, 6<<20)
	assert.Assert(t, ok)
	evicted, ok := table.Grow(longer, 6<<20)
	assert.Assert(t, ok)
	assert.DeepEqual(t, names(evicted), []string{"long"})
}

// Requests in hand leave room for connections, so that further requests are refused, not
// left without an answer.
func TestRequestsInHandLeaveRoom(t *testing.T) {
	const taken = 8
	cases := map[string]evict.Limits{
		"connections": {Conns: 10, Requests: taken, Bytes: 1 << 30},
		"memory":      {Conns: 1000, Requests: 1000, Bytes: 2 * taken * evict.RequestBytes},
	}
	for name, limits := range cases {
		t.Run(name, func(t *testing.T) {
			table := evict.New(limits)
			var conns []*evict.Conn
			for range taken {
				c := open(t, table, at(0), "request")
				table.Resume(c, 0)
				_, ok := table.Take(c)
				assert.Assert(t, ok)
				conns = append(conns, c)
			}
			refused := open(t, table, at(0), "refused")
			_, ok := table.Take(refused)
			assert.Assert(t, !ok)
			_, evicted, ok := table.Open(at(0), "new")
			assert.Assert(t, ok)
			assert.Equal(t, len(evicted), 0)

			table.Wait(conns[3])
			evicted, ok = table.Take(refused)
			assert.Assert(t, ok, "a client in hand has stopped")
			assert.Assert(t, len(evicted) == 1 && evicted[0] == conns[3])
		})
	}
}

func TestUnreadBytesBeyondTheLimitCloseStoppedClientsFirst(t *testing.T) {
	table := evict.New(evict.Limits{Conns: 10, Requests: 10, Bytes: 1 << 30})
	unread := map[string]int64{"idle": 100, "stopped": 10, "stopped later": 10, "long": 30, "short": 10}
	for i, name := range []string{"idle", "stopped later", "stopped", "short", "long"} {
		c := open(t, table, at(time.Duration(10-i)*time.Second), name)
		if name == "idle" {
			continue
		}
		table.Resume(c, 0)
		_, ok := table.Take(c)
		assert.Assert(t, ok)
		if strings.HasPrefix(name, "stopped") {
			table.Wait(c)
		}
	}
	of := func(c *evict.Conn) int64 { return unread[c.Value.(string)] }
	assert.Equal(t, len(table.Shed(60, of)), 0)
	assert.DeepEqual(t, names(table.Shed(15, of)), []string{"stopped", "stopped later", "long"})
	assert.Equal(t, table.InHand(), 1)
	assert.Equal(t, table.Len(), 2)
}

// Connections that were evicted make room once the server has ended them: their clients may
// return faster than that.
func TestEvictedConnectionsMakeRoomWhenTheyHaveEnded(t *testing.T) {
	const maxClosing = 4
	table := evict.New(evict.Limits{Conns: 10, Requests: 10, Bytes: 1 << 30})
	for range 10 {
		_, ok := table.Grow(open(t, table, at(0), "first"), 1)
		assert.Assert(t, ok)
	}
	var closing []*evict.Conn
	for range maxClosing {
		c, evicted, ok := table.Open(at(time.Second), "later")
		assert.Assert(t, ok)
		_, ok = table.Grow(c, 1)
		assert.Assert(t, ok)
		closing = append(closing, evicted...)
	}
	_, evicted, ok := table.Open(at(time.Second), "too early")
	assert.Assert(t, !ok)
	assert.Equal(t, len(evicted), 0)
	table.End(closing[0])
	_, _, ok = table.Open(at(time.Second), "in time")
	assert.Assert(t, ok)
}

// Connections without a request take no room from requests.
func TestIdleConnectionsLeaveRoomForRequests(t *testing.T) {
	table := evict.New(evict.Limits{Conns: 1000, Requests: 1000, Bytes: 20 * evict.ConnBytes})
	var last *evict.Conn
	for range 50 {
		c, _, ok := table.Open(at(0), "idle")
		assert.Assert(t, ok)
		last = c
	}
	evicted, ok := table.Take(last)
	assert.Assert(t, ok)
	assert.Equal(t, len(evicted), 0)
}

// modelConn is a connection as the oracle of TestRandomUse sees it.
type modelConn struct {
	conn  *evict.Conn
	waits int
	since time.Time
	bytes int64
	// inHand is true while a request is in hand.
	inHand bool
}

// TestRandomUse compares a table with a simple model: its limits hold, and each connection
// that it closes waits for its client and has waited as long as any other.
func TestRandomUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := evict.Limits{Conns: rapid.IntRange(1, 6).Draw(t, "conns"), Requests: rapid.IntRange(1, 6).Draw(t, "requests"), Bytes: int64(rapid.IntRange(4, 24).Draw(t, "bytes")) * evict.ConnBytes}
		table := evict.New(limits)
		now := start
		var model []*modelConn
		var closing []*evict.Conn
		remove := func(c *evict.Conn) {
			for i, m := range model {
				if m.conn == c {
					model = append(model[:i:i], model[i+1:]...)
					return
				}
			}
			t.Fatalf("%v was closed, but it is not open", c.Value)
		}
		// mayEvict tells which connections an operation may close, besides those for which
		// the server works.
		type mayEvict func(m *modelConn) bool
		isLarge := func(m *modelConn) bool {
			var sum int64
			for _, other := range model {
				sum += other.bytes
			}
			return m.bytes*int64(len(model)) >= sum
		}
		checkEvicted := func(evicted []*evict.Conn, may mayEvict) {
			for _, c := range evicted {
				var victim *modelConn
				for _, m := range model {
					if m.conn == c {
						victim = m
					}
				}
				if victim == nil || victim.waits == 0 || !may(victim) {
					t.Fatalf("%v was closed, for which the server works", c.Value)
				}
				for _, m := range model {
					if m.waits > 0 && may(m) && m.since.Before(victim.since) {
						t.Fatalf("%v was closed before a slower one", c.Value)
					}
				}
				if victim.inHand || victim.bytes > evict.ConnBytes {
					closing = append(closing, c)
				}
				remove(c)
			}
		}
		pick := func() *modelConn {
			if len(model) == 0 {
				t.Skip("no connection")
			}
			return rapid.SampledFrom(model).Draw(t, "conn")
		}
		t.Repeat(map[string]func(*rapid.T){
			"sleep": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
			},
			"open": func(t *rapid.T) {
				c, evicted, ok := table.Open(now, len(model))
				checkEvicted(evicted, func(m *modelConn) bool { return len(model) >= limits.Conns || isLarge(m) })
				if ok {
					model = append(model, &modelConn{conn: c, waits: 1, since: now, bytes: evict.ConnBytes})
				}
			},
			"wait": func(*rapid.T) {
				m := pick()
				table.Wait(m.conn)
				m.waits++
			},
			"resume": func(*rapid.T) {
				m := pick()
				request := table.Wait(m.conn)
				table.Resume(m.conn, request)
				table.Resume(m.conn, request-1)
				table.Resume(m.conn, request)
				m.waits = max(0, m.waits-1)
			},
			"begin": func(*rapid.T) {
				m := pick()
				table.Begin(now, m.conn)
				m.since = now
			},
			"finish": func(*rapid.T) {
				m := pick()
				table.Finish(now, m.conn)
				m.waits, m.since, m.bytes, m.inHand = 1, now, evict.ConnBytes, false
			},
			"grow": func(t *rapid.T) {
				m, n := pick(), int64(rapid.IntRange(1, 3*evict.ConnBytes).Draw(t, "n"))
				evicted, ok := table.Grow(m.conn, n)
				checkEvicted(evicted, isLarge)
				if ok {
					m.bytes += n
				}
			},
			"take": func(*rapid.T) {
				m := pick()
				evicted, ok := table.Take(m.conn)
				checkEvicted(evicted, func(m *modelConn) bool { return m.inHand })
				m.inHand = m.inHand || ok
			},
			"close": func(*rapid.T) {
				m := pick()
				table.Close(m.conn)
				table.Close(m.conn)
				remove(m.conn)
			},
			"end": func(t *rapid.T) {
				if len(closing) == 0 {
					t.Skip("none is closing")
				}
				i := rapid.IntRange(0, len(closing)-1).Draw(t, "closing")
				table.End(closing[i])
				table.End(closing[i])
				closing = append(closing[:i:i], closing[i+1:]...)
			},
			"": func(t *rapid.T) {
				const maxClosing = 4
				if len(closing) > maxClosing {
					t.Fatalf("%d connections are closing", len(closing))
				}
				var bytes int64
				for _, m := range model {
					bytes += m.bytes
					if m.inHand {
						bytes += evict.RequestBytes
					}
				}
				if table.Len() != len(model) || table.Bytes() != bytes {
					t.Fatalf("%d connections of %d bytes, want %d of %d", table.Len(), table.Bytes(), len(model), bytes)
				}
				if table.InHand() > limits.Requests {
					t.Fatalf("%d requests in hand exceed %+v", table.InHand(), limits)
				}
				if len(model) > limits.Conns || bytes > limits.Bytes {
					t.Fatalf("%d connections of %d bytes exceed %+v", len(model), bytes, limits)
				}
			},
		})
	})
}
