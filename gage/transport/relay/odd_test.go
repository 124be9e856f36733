package relay_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/transport/clock"
	"github.com/greengagewind/greengagewind/gage/transport/relay"
)

// An answer outside HTTP tells nothing of the request.
func TestAnswersOutsideHTTPHaveUnknownOutcome(t *testing.T) {
	cases := map[string]string{
		"status 000":             "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nok",
		"status 099":             "HTTP/1.1 099 Trouble\r\nContent-Length: 2\r\n\r\nok",
		"status 999":             "HTTP/1.1 999 Trouble\r\nContent-Length: 2\r\n\r\nok",
		"switch of the protocol": "HTTP/1.1 101 Switching Protocols\r\nContent-Length: 0\r\n\r\n",
		"blank in a name":        "HTTP/1.1 200 OK\r\nX Odd: a\r\nContent-Length: 2\r\n\r\nok",
		"blank after a coding":   "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 2\r\n\r\nok",
		"refusal with a blank":   "HTTP/1.1 503 Busy\r\nX Odd: a\r\nGage-Not-Run: true\r\nContent-Length: 0\r\n\r\n",
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			address, _ := startTarget(t, answer)
			r := relay.New(clock.System{})
			defer r.Close()
			result := r.Send(context.Background(), address, "token", newPost("body"))
			assert.Equal(t, result.Outcome, gage.OutcomeUnknown)
			assert.Equal(t, result.Reason, gage.ReasonTargetFailed)
		})
	}
}
