// Package root declares the commands of ggw and runs the command that the arguments
// select.
package root

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"text/template"

	"github.com/alecthomas/kingpin/v2"

	"github.com/greengagewind/greengagewind/ggw/cli"
	"github.com/greengagewind/greengagewind/ggw/config/apply"
	"github.com/greengagewind/greengagewind/ggw/config/check"
	"github.com/greengagewind/greengagewind/ggw/config/diff"
	"github.com/greengagewind/greengagewind/ggw/config/show"
	"github.com/greengagewind/greengagewind/ggw/explain"
	newkey "github.com/greengagewind/greengagewind/ggw/key/new"
	"github.com/greengagewind/greengagewind/ggw/status"
)

// Run parses args, which exclude the program name, runs the selected command and
// returns the exit code of the process.
func Run(ctx context.Context, args []string, env cli.Env) int {
	p := newProgram(env)
	if p.helpRequested(args) {
		return p.printHelp(args)
	}
	name, err := p.app.Parse(args)
	if name == "help" && err == nil {
		_, _ = io.Copy(env.Streams.Out, &p.kingpinOutput)
		return cli.ExitOK
	}
	if err != nil {
		return p.usageError(args, err)
	}
	err = p.commands[name](ctx)
	var usage *cli.UsageError
	if errors.As(err, &usage) {
		return p.usageError(args, err)
	}
	if err != nil {
		env.Streams.PrintErrf("ggw: %v", err)
	}
	return cli.ExitCode(err)
}

// program holds the declared commands and flags.
type program struct {
	app *kingpin.Application
	env cli.Env
	// commands maps full command names, such as "config apply", to functions.
	commands map[string]func(ctx context.Context) error
	// kingpinOutput buffers the help and usage texts that kingpin writes. They are
	// then copied to standard output or standard error.
	kingpinOutput bytes.Buffer
}

func newProgram(env cli.Env) *program {
	p := &program{env: env, commands: make(map[string]func(ctx context.Context) error)}
	p.app = kingpin.New("ggw", "operate a greengagewind fleet")
	p.app.UsageTemplate(usageTemplate).UsageWriter(&p.kingpinOutput).ErrorWriter(env.Streams.Err)
	p.app.Terminate(func(int) {})
	p.app.UsageFuncs(template.FuncMap{"FlagRows": flagRows})
	p.app.HelpFlag.Short('h').Help("show help")

	config := p.app.Command("config", "manage the configuration of the fleet").HelpLong(configHelp)
	p.addCommand(check.New(config, env, nil))
	p.addCommand(diff.New(config, env, nil))
	p.addCommand(apply.New(config, env, nil))
	p.addCommand(show.New(config, env, nil))
	key := p.app.Command("key", "manage the API keys of workspaces").HelpLong(keyHelp)
	p.addCommand(newkey.New(key, env, nil))
	p.addCommand(status.New(p.app, env, nil))
	p.addCommand(explain.New(p.app, env, nil))
	return p
}

func (p *program) addCommand(c cli.Command) {
	p.commands[c.Name] = c.Run
}

func (p *program) helpRequested(args []string) bool {
	parsed, _ := p.app.ParseContext(args)
	if parsed == nil {
		return false
	}
	for _, element := range parsed.Elements {
		if flag, ok := element.Clause.(*kingpin.FlagClause); ok && flag == p.app.HelpFlag {
			return true
		}
	}
	return false
}

func (p *program) printHelp(args []string) int {
	parsed, _ := p.app.ParseContext(args)
	if err := p.app.UsageForContext(parsed); err != nil {
		p.env.Streams.PrintErrf("ggw: print help: %v", err)
		return cli.ExitFailure
	}
	_, _ = io.Copy(p.env.Streams.Out, &p.kingpinOutput)
	return cli.ExitOK
}

// usageError prints err and the usage line of the selected command to standard
// error.
func (p *program) usageError(args []string, err error) int {
	p.kingpinOutput.Reset()
	fmt.Fprintf(&p.kingpinOutput, "ggw: %v\n", err)
	if parsed, _ := p.app.ParseContext(args); parsed != nil {
		_ = p.app.UsageForContextWithTemplate(parsed, 2, usageLineTemplate)
	}
	_, _ = io.Copy(p.env.Streams.Err, &p.kingpinOutput)
	return cli.ExitUsage
}
