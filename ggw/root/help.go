package root

import (
	"fmt"

	"github.com/alecthomas/kingpin/v2"
)

const keyHelp = `Callers authenticate with an API key of their workspace. The configuration file
contains only the digests of keys, so that no key can be read from it.

EXAMPLES
  $ ggw key new
`

const configHelp = `A configuration file is always applied as a whole. Each applied file gets a
generation number higher than all earlier ones, and every node adopts the file
within seconds.

EXAMPLES
  $ ggw config show --store http://10.0.0.2:2379 > consorcio.toml
  $ ggw config check consorcio.toml
  $ ggw config diff --store http://10.0.0.2:2379 consorcio.toml
  $ ggw config apply --store http://10.0.0.2:2379 consorcio.toml
`

const usageLineTemplate = `
{{- define "Arguments" -}}
{{if .FlagSummary}} {{.FlagSummary}}{{end -}}
{{range .Args}} {{if not .Required}}[{{end}}{{if .PlaceHolder}}{{.PlaceHolder}}{{else}}<{{.Name}}>{{end}}{{if not .Required}}]{{end}}{{end -}}
{{end -}}
usage: {{.App.Name}}
{{- if .Context.SelectedCommand}} {{.Context.SelectedCommand.FullCommand}}{{template "Arguments" .Context.SelectedCommand}}
{{- if .Context.SelectedCommand.Commands}} COMMAND{{end}}
{{- else}}{{template "Arguments" .App}} COMMAND{{end}}
Run {{.App.Name}} {{if .Context.SelectedCommand}}{{.Context.SelectedCommand.FullCommand}} {{end}}--help for more.
`

const usageTemplate = `
{{- define "Arguments" -}}
{{if .FlagSummary}} {{.FlagSummary}}{{end -}}
{{range .Args}} {{if not .Required}}[{{end}}{{if .PlaceHolder}}{{.PlaceHolder}}{{else}}<{{.Name}}>{{end}}{{if not .Required}}]{{end}}{{end -}}
{{end -}}
{{define "Commands" -}}
{{range .FlattenedCommands}}{{if and (not .Hidden) (ne .FullCommand "help")}}  {{printf "%-16s" .FullCommand}}{{.Help}}
{{end}}{{end}}{{end -}}
{{with .Context.SelectedCommand -}}
{{.Help}}

{{with .HelpLong}}{{.}}
{{end -}}
USAGE
  ggw {{.FullCommand}}{{template "Arguments" .}}{{if .Commands}} COMMAND

COMMANDS
{{template "Commands" .}}{{else}}
{{end}}
{{- else -}}
{{.App.Help}}

The configuration of a fleet is changed only by applying a complete file; the
state of the fleet can be read from any node. Run a command with --help for its
flags and examples.

USAGE
  ggw COMMAND

COMMANDS
{{template "Commands" .App}}
EXIT CODES
  0  the command succeeded
  1  the command failed
  2  the arguments are invalid
  3  another file was applied first
{{end}}
{{if .Context.Flags -}}
FLAGS
{{.Context.Flags|FlagRows|FormatTwoColumns}}
{{- end}}
{{- if .Context.Args}}
ARGUMENTS
{{.Context.Args|ArgsToTwoColumns|FormatTwoColumns}}
{{- end}}`

// flagRows returns the name and description of each flag for the help text. It
// omits the --no-NAME forms that kingpin's own formatter adds for boolean flags.
func flagRows(flags []*kingpin.FlagModel) [][2]string {
	var rows [][2]string
	for _, flag := range flags {
		if flag.Hidden {
			continue
		}
		name := "--" + flag.Name
		if flag.Short != 0 {
			name = fmt.Sprintf("-%c, %s", flag.Short, name)
		}
		if !flag.IsBoolFlag() {
			name += " " + flag.PlaceHolder
		}
		rows = append(rows, [2]string{name, flag.HelpWithEnvar()})
	}
	return rows
}
