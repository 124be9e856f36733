package quota_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/quota"
)

// fading is a share table whose holder loses its standing after so many looks.
type fading struct {
	looks int
}

func (f *fading) Slots(int) []gage.ShareSlot { return nil }

func (f *fading) Standing(int, int, time.Time) (uint64, bool) {
	f.looks--
	return 1, f.looks >= 0
}

// A slot that is given up on another goroutine in the middle of an ask grants
// nothing and breaks no invariant.
func TestStandingLostWhileAsked(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	config := &gage.Config{Generation: 1, Workspaces: []gage.Workspace{{Name: "aurora", Rate: 10, Burst: 20}}}
	for looks := range 2 {
		shares := &fading{looks: 1000}
		issuer := quota.NewIssuer(gage.Process{VM: "a1"}, shares)
		issuer.Adopt(now, config)
		shares.looks = looks
		answer := issuer.Take(now.Add(time.Second), quota.TakeRequest{Workspace: "aurora", Count: 1})
		assert.Equal(t, answer.Granted, 0, "after %d looks", looks)
	}
}
