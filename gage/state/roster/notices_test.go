package roster_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/state/roster"
)

var leaves = roster.Notices{IsLeaving: true, RateLimit: math.Inf(1)}

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
			r.TargetSays(start, s.Target, leaves)
			r.TargetSays(start, s.Target, leaves)
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
	r.TargetSays(start, s.Target, leaves)
	later := start.Add(time.Hour)
	r.TargetSays(later, gage.TargetState{ID: "another"}, leaves)
	s.Sequence++
	update(r, later, s)
	_, found := r.Pick(later, "search", nil)
	assert.Assert(t, found)
}

// A later process with the ID of one that had left said that it leaves too, and was used.
func TestEachProcessCanLeave(t *testing.T) {
	r := roster.New("a1", "a", random())
	s := nodeState("a2", "a", 1)
	for _, startedAt := range []int64{50, 60} {
		s.Sequence++
		s.Target.StartedAt = startedAt
		update(r, start, s)
		_, found := r.Pick(start, "search", nil)
		assert.Assert(t, found)
		r.TargetSays(start, s.Target, leaves)
		_, found = r.Pick(start, "search", nil)
		assert.Assert(t, !found)
	}
}

func TestRateLimitOfATarget(t *testing.T) {
	type response struct {
		startedAt int64
		limit     float64
	}
	inf := math.Inf(1)
	cases := map[string]struct {
		responses []response
		startedAt int64
		want      float64
	}{
		"none":                       {nil, 50, inf},
		"one":                        {[]response{{50, 4}}, 50, 4},
		"the last one counts":        {[]response{{50, 4}, {50, 6}}, 50, 6},
		"ended":                      {[]response{{50, 4}, {50, inf}}, 50, inf},
		"node has restarted":         {[]response{{50, 4}}, 0, 4},
		"later process":              {[]response{{50, 4}}, 60, inf},
		"late response":              {[]response{{60, 6}, {50, 4}}, 60, 6},
		"later process has a limit":  {[]response{{50, 4}, {60, 6}}, 60, 6},
		"start becomes known":        {[]response{{0, 4}}, 50, 4},
		"start was known for others": {[]response{{50, 4}, {0, 6}}, 50, 6},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := roster.New("a1", "a", random())
			s := nodeState("a2", "a", 1)
			for _, response := range c.responses {
				s.Target.StartedAt = response.startedAt
				r.TargetSays(start, s.Target, roster.Notices{RateLimit: response.limit})
			}
			s.Target.StartedAt = c.startedAt
			update(r, start, s)
			p, found := r.Pick(start, "search", nil)
			assert.Assert(t, found)
			assert.Equal(t, p.RateLimit, c.want)
		})
	}
}

// A node reported that its target leaves and restarted. Its next process, which did not
// know, announced the target again, and the other nodes sent it requests.
func TestTargetsReportedAsLeavingAreNotPickedAfterARestartOfTheirNode(t *testing.T) {
	for _, phase := range []gage.TargetPhase{gage.TargetDraining, gage.TargetGone} {
		t.Run(string(phase), func(t *testing.T) {
			r := roster.New("a1", "a", random())
			s := nodeState("a2", "a", 1)
			s.Target.StartedAt, s.Target.Phase = 50, phase
			update(r, start, s)
			s.StartedAt, s.Target.StartedAt, s.Target.Phase = s.StartedAt+1, 0, gage.TargetServing
			update(r, start, s)
			_, found := r.Pick(start, "search", nil)
			assert.Assert(t, !found)
			s.Sequence, s.Target.StartedAt = s.Sequence+1, 60
			update(r, start, s)
			_, found = r.Pick(start, "search", nil)
			assert.Assert(t, found)
		})
	}
}
