package roster_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage/state/roster"
)

// A target that had said that it leaves was used again, since its node had restarted and
// did not know. A later process with the same ID is used.
func TestLeavingTargetsAreNotPickedAgain(t *testing.T) {
	cases := map[string]struct {
		// told is the start of the target process that the node reported when the target
		// said that it leaves; later are those of its later reports.
		told  int64
		later []int64
		want  bool
	}{
		"same process":                              {told: 50, later: []int64{50}, want: false},
		"restarted node does not know the start":    {told: 50, later: []int64{0}, want: false},
		"start becomes known":                       {told: 0, later: []int64{0, 50, 50}, want: false},
		"later process":                             {told: 50, later: []int64{0, 60}, want: true},
		"later process after the start was learned": {told: 0, later: []int64{50, 60}, want: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := roster.New("a1", "a", random())
			s := nodeState("a2", "a", 1)
			s.Target.StartedAt = c.told
			update(r, start, s)
			_, found := r.Pick(start, "search", nil)
			assert.Assert(t, found)
			r.TargetLeaves(start, "a2", s.Target.ID)
			r.TargetLeaves(start, "a2", s.Target.ID)
			for _, startedAt := range c.later {
				s.Sequence++
				s.Target.StartedAt = startedAt
				update(r, start, s)
			}
			_, found = r.Pick(start, "search", nil)
			assert.Equal(t, found, c.want)
		})
	}
}

func TestLeavingIsForgottenInTheEnd(t *testing.T) {
	r := roster.New("a1", "a", random())
	s := nodeState("a2", "a", 1)
	update(r, start, s)
	r.TargetLeaves(start, "a2", s.Target.ID)
	later := start.Add(time.Hour)
	r.TargetLeaves(later, "a2", "another")
	s.Sequence++
	update(r, later, s)
	_, found := r.Pick(later, "search", nil)
	assert.Assert(t, found)
}
