package docmsg_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage/coordination/spread"
	"github.com/greengagewind/greengagewind/gage/protocol/docmsg"
	"github.com/greengagewind/greengagewind/gage/protocol/wire"
)

// TestDigestRoundTripRoundsAgesUp checks that encoding a digest as protobuf and
// decoding it changes nothing, except that ages are rounded up.
func TestDigestRoundTripRoundsAgesUp(t *testing.T) {
	d := spread.Digest{
		From:     "127.0.0.1:1",
		Summary:  1 << 63,
		AllZones: true,
		Heads:    []spread.Head{{Key: "/a", Revision: 7}},
		Zones: []spread.ZoneAge{
			{Zone: "a", TriedAge: 1500 * time.Nanosecond, ReachedAge: -time.Microsecond},
			{Zone: "b", TriedAge: 0, ReachedAge: time.Hour},
		},
	}
	encoded, err := proto.Marshal(docmsg.ToSpreadDigest(d))
	assert.NilError(t, err)
	var m wire.SpreadDigest
	assert.NilError(t, proto.Unmarshal(encoded, &m))
	decoded := docmsg.FromSpreadDigest(&m)
	assert.Equal(t, decoded.Zones[0].TriedAge, 2*time.Microsecond)
	assert.Assert(t, decoded.Zones[0].ReachedAge < 0)
	decoded.Zones[0].TriedAge = d.Zones[0].TriedAge
	assert.DeepEqual(t, decoded, d)
}
