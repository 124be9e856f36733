package check

import "strings"

// Owner holds that every run, nested ones included, belongs to a caller's
// request and to the workspace whose key came with it.
func Owner(in Input) Finding {
	finding := Finding{Check: "RunsForItsWorkspaceOnly"}
	workspaces := make(map[string]string)
	for _, attempt := range in.Sent {
		workspace := attempt.Workspace
		if !attempt.Keyed || attempt.Direct {
			workspace = ""
		}
		workspaces[attempt.ID] = workspace
	}
	for _, run := range in.Runs {
		if strings.HasPrefix(run.ID, ProbePrefix) {
			continue
		}
		finding.Checked++
		workspace, known := workspaces[run.ID]
		switch {
		case !known:
			finding.addViolation("%s at %s belongs to no caller's request", run.ID, run.Target)
		case workspace != run.Workspace:
			finding.addViolation("%s of workspace %q ran as %q at %s", run.ID, workspace, run.Workspace, run.Target)
		}
	}
	return finding
}
