package check

import "strings"

// Owner checks that every run belongs to a request in the callers' log, and that it
// was attributed to the workspace whose key the request carried. This includes the
// runs of nested calls. Readiness probes are skipped.
func Owner(in Input) Finding {
	finding := Finding{Check: "RunsForItsWorkspaceOnly"}
	workspaceByID := make(map[string]string)
	for _, attempt := range in.Sent {
		workspace := attempt.Workspace
		if !attempt.Keyed || attempt.Direct {
			workspace = ""
		}
		workspaceByID[attempt.ID] = workspace
	}
	for _, run := range in.Runs {
		if strings.HasPrefix(run.ID, ProbePrefix) {
			continue
		}
		finding.Checked++
		workspace, isLogged := workspaceByID[run.ID]
		switch {
		case !isLogged:
			finding.addViolation("%s ran at %s, but the callers' log has no such request", run.ID, run.Target)
		case workspace != run.Workspace:
			finding.addViolation("%s of workspace %q ran for workspace %q at %s", run.ID, workspace, run.Workspace, run.Target)
		}
	}
	return finding
}
