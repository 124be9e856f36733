package probl_test

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/protocol/probl"
)

// TestAPIPageListsEveryReason checks that docs/API.md has a table row for each
// gage.Reason with its HTTP status.
func TestAPIPageListsEveryReason(t *testing.T) {
	source, err := os.ReadFile("../../enums.go")
	assert.NilError(t, err)
	page, err := os.ReadFile("../../../docs/API.md")
	assert.NilError(t, err)
	reasons := regexp.MustCompile(`Reason\w+ +Reason = "(\w+)"`).FindAllStringSubmatch(string(source), -1)
	assert.Assert(t, len(reasons) > 20)
	for _, match := range reasons {
		status := probl.Status(gage.Result{Outcome: gage.OutcomeNotRun, Reason: gage.Reason(match[1])})
		row := fmt.Sprintf("\n| `%s` | %d", match[1], status)
		assert.Assert(t, strings.Contains(string(page), row), "docs/API.md has no row %q", strings.TrimSpace(row))
	}
}
