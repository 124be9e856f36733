package echo_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/greengagewind/greengagewind/gage/state/echo"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

func TestMaxAgeIsUnknownForStampsOfOtherProcesses(t *testing.T) {
	self := echo.Stamp{Process: "b1@2", Micros: 10}
	for _, process := range []string{"", "b1@1"} {
		_, ok := echo.MaxAge(self, echo.Echo{Stamp: echo.Stamp{Process: process}})
		assert.Assert(t, !ok)
	}
}

func TestCacheDoesNotEchoOldStamps(t *testing.T) {
	cache := echo.New()
	now := time.Unix(1_800_000_000, 0)
	cache.Put(now, "127.0.0.1:1", echo.Stamp{Process: "p", Micros: 7})
	assert.Equal(t, cache.Echo(now.Add(time.Second), "127.0.0.1:1").Held, time.Second)
	assert.Equal(t, cache.Echo(now.Add(time.Hour), "127.0.0.1:1").Process, "")
	assert.Equal(t, cache.Echo(now, "127.0.0.1:2").Process, "")
}

// MaxAge is never below the true age of a message, whatever the delays, the
// offset and drift between the clocks, and a pause of a process at any point.
func TestMaxAgeIsNeverTooLow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_800_000_000, 0)
		offset := time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "offset"))
		drift := rapid.Float64Range(-100, 100).Draw(t, "driftPerMillion") / 1e6
		receiverClock := func(at time.Duration) echo.Stamp {
			return echo.Stamp{Process: "p", Micros: at.Microseconds()}
		}
		senderClock := func(at time.Duration) time.Time {
			return start.Add(offset + at + time.Duration(float64(at)*drift))
		}
		delay := func(label string) time.Duration {
			return time.Duration(rapid.Int64Range(0, 20e9).Draw(t, label))
		}
		stampMade := delay("stamped")
		stampReceived := stampMade + delay("answer")
		sent := stampReceived + delay("held")
		arrived := sent + delay("travel")

		cache := echo.New()
		cache.Put(senderClock(stampReceived), "a", receiverClock(stampMade))
		maxAge, ok := echo.MaxAge(receiverClock(arrived), cache.Echo(senderClock(sent), "a"))
		assert.Assert(t, ok)
		assert.Assert(t, maxAge >= arrived-sent-2*time.Microsecond, "maximum age %v, true age %v", maxAge, arrived-sent)
	})
}
