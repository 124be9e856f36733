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

func TestLateIsNotKnownForAnotherProcess(t *testing.T) {
	self := echo.Stamp{Process: "b1@2", Micros: 10}
	for _, process := range []string{"", "b1@1"} {
		_, known := echo.MaxAge(self, echo.Echo{Stamp: echo.Stamp{Process: process}})
		assert.Assert(t, !known)
	}
}

func TestBookForgetsOldStamps(t *testing.T) {
	book := echo.New()
	now := time.Unix(1_800_000_000, 0)
	book.Put(now, "127.0.0.1:1", echo.Stamp{Process: "p", Micros: 7})
	assert.Equal(t, book.Echo(now.Add(time.Second), "127.0.0.1:1").Held, time.Second)
	assert.Equal(t, book.Echo(now.Add(time.Hour), "127.0.0.1:1").Process, "")
	assert.Equal(t, book.Echo(now, "127.0.0.1:2").Process, "")
}

// Whatever the delays, the offset between the clocks and a freeze at any point
// of the way, a message is never taken to be younger than it is.
func TestLateNeverFallsShort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_800_000_000, 0)
		offset := time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "offset"))
		drift := rapid.Float64Range(-100, 100).Draw(t, "driftPerMillion") / 1e6
		receiver := func(at time.Duration) echo.Stamp {
			return echo.Stamp{Process: "p", Micros: at.Microseconds()}
		}
		sender := func(at time.Duration) time.Time {
			return start.Add(offset + at + time.Duration(float64(at)*drift))
		}
		delay := func(label string) time.Duration {
			return time.Duration(rapid.Int64Range(0, 20e9).Draw(t, label))
		}
		stamped := delay("stamped")
		heard := stamped + delay("answer")
		sent := heard + delay("held")
		arrived := sent + delay("travel")

		book := echo.New()
		book.Put(sender(heard), "a", receiver(stamped))
		late, known := echo.MaxAge(receiver(arrived), book.Echo(sender(sent), "a"))
		assert.Assert(t, known)
		assert.Assert(t, late >= arrived-sent-2*time.Microsecond, "late %v, travelled %v", late, arrived-sent)
	})
}
