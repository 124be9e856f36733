package spend_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage/state/spend"
)

func TestRetriesStayWithinRatioAndBurst(t *testing.T) {
	const firstAttempts = 1000
	b := spend.New(5)
	retries := 0
	for range firstAttempts {
		b.Earn("search", 0.1)
		for b.Spend("search") {
			retries++
		}
	}
	assert.Assert(t, retries <= firstAttempts/10+5, "%d retries", retries)
	assert.Assert(t, retries >= firstAttempts/10-1, "%d retries", retries)
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	b := spend.New(1)
	assert.Assert(t, b.Spend("search"))
	assert.Assert(t, !b.Spend("search"))
	assert.Assert(t, b.Spend("custody"))
}

func TestLowerBurstAppliesAtOnce(t *testing.T) {
	b := spend.New(10)
	b.Earn("search", 0.1)
	b.SetBurst(1)
	assert.Assert(t, b.Spend("search"))
	assert.Assert(t, !b.Spend("search"))
}
