package check

import (
	"strings"

	"github.com/greengagewind/greengagewind/stand/record"
)

// Keys checks that no API key of a workspace reached a target in the path,
// query, body or headers of a request.
func Keys(in Input) Finding {
	finding := Finding{Check: "NoTargetSeesAKey"}
	for _, run := range in.Runs {
		finding.Checked++
		for workspace, key := range in.Keys {
			if location := findKey(run, key); location != "" {
				finding.addViolation("the key of %s reached %s in the %s of %s", workspace, run.Target, location, run.ID)
			}
		}
	}
	return finding
}

// findKey returns the part of the request that contains key, or "".
func findKey(run record.Run, key string) string {
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
		// HTTP libraries change the case of header names, but not of values.
		if strings.Contains(strings.ToLower(line.Name), strings.ToLower(key)) || strings.Contains(line.Value, key) {
			return "header " + line.Name
		}
	}
	return ""
}
