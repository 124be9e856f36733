package check

import (
	"strings"

	"github.com/greengagewind/greengagewind/stand/record"
)

// Keys holds that no key reached a target, wherever the caller had put it.
func Keys(in Input) Finding {
	finding := Finding{Check: "NoTargetSeesAKey"}
	for _, run := range in.Runs {
		finding.Checked++
		for workspace, key := range in.Keys {
			if place := placeOf(run, key); place != "" {
				finding.addViolation("the key of %s reached %s in the %s of %s", workspace, run.Target, place, run.ID)
			}
		}
	}
	return finding
}

func placeOf(run record.Run, key string) string {
	switch {
	case key == "":
		return ""
	case strings.Contains(run.Path, key):
		return "path"
	case strings.Contains(run.Query, key):
		return "query"
	case strings.Contains(run.Body, key):
		return "body"
	}
	for _, line := range run.Header {
		// The letters of a header's name change case on the way.
		if strings.Contains(strings.ToLower(line.Name), strings.ToLower(key)) || strings.Contains(line.Value, key) {
			return "header " + line.Name
		}
	}
	return ""
}
