package apply_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/apply"
)

func TestSplitStampsUndoesPrependStamps(t *testing.T) {
	file := "# Apply to all\n# a comment\nDeployment = \"a\"\n"
	var stamps []apply.Stamp
	for i := range 20 {
		stamps = append([]apply.Stamp{{ID: fmt.Sprintf("id-%d", i), Base: int64(i)}}, stamps...)
		gotStamps, gotFile := apply.SplitStamps(apply.PrependStamps(stamps, []byte(file)))
		assert.Equal(t, string(gotFile), file)
		assert.DeepEqual(t, gotStamps, stamps[:min(len(stamps), 16)])
	}
}

func TestSplitStampsKeepsFilesWithoutStamps(t *testing.T) {
	for _, file := range []string{"", "a = 1", "# Apply", "# Apply x Base", "# Apply x Base y\n", "# Apply x Base 1"} {
		stamps, gotFile := apply.SplitStamps([]byte(file))
		assert.Equal(t, len(stamps), 0)
		assert.Equal(t, string(gotFile), file)
	}
}

func TestRunRefusesLargeFileAndBadID(t *testing.T) {
	tooLarge := make([]byte, gage.MaxValueBytes)
	assert.Equal(t, apply.Run(t.Context(), nil, tooLarge, 0, "id").Outcome, apply.TooLarge)
	for _, id := range []string{"", "a b", "a\n", strings.Repeat("x", 65)} {
		assert.Equal(t, apply.Run(t.Context(), nil, []byte("a"), 0, id).Outcome, apply.BadID, id)
	}
}

func TestSizeLimitLeavesRoomForStamps(t *testing.T) {
	var stamps []apply.Stamp
	for range 16 {
		stamps = append(stamps, apply.Stamp{ID: strings.Repeat("x", 64), Base: 1<<63 - 1})
	}
	overhead := len(apply.PrependStamps(stamps, nil))
	result := apply.Run(t.Context(), nil, make([]byte, gage.MaxValueBytes-overhead+1), 0, "id")
	assert.Equal(t, result.Outcome, apply.TooLarge)
}
