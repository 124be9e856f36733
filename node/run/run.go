// Package run implements "node run".
package run

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage/transport/logkv"
	"github.com/greengagewind/greengagewind/node/setup"
)

// memoryLimitFraction is the soft memory limit of the Go runtime as a fraction of the memory
// that the process may use. The rest is for what the runtime does not count, among it what
// connections have received and the node has not read.
const memoryLimitFraction = 0.7

// Name is the name of the command on the command line.
const Name = "run"

// Options are the inputs of the command.
type Options struct {
	// Log receives one line of key=value pairs for each event.
	Log io.Writer
	// SettingsPath is the path of the settings file.
	SettingsPath string
}

// New adds the command to app. Parsing the arguments fills in the returned options.
func New(app *kingpin.Application, log io.Writer) *Options {
	o := &Options{Log: log}
	command := app.Command(Name, "run a node until SIGTERM, then stop it gracefully")
	command.Flag("settings", "settings file").Required().StringVar(&o.SettingsPath)
	return o
}

// Run runs a node until SIGTERM, SIGINT, or until another process with the same VM
// name supersedes it, and then stops it gracefully.
func Run(o *Options) error {
	settings, problems := setup.Load(o.SettingsPath)
	if len(problems) > 0 {
		return fmt.Errorf("%s", problems)
	}
	logger, err := logkv.New(o.Log, settings.LogLevel)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryMB<<20)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	node, err := build(settings, logger)
	if err != nil {
		return err
	}
	if err := node.start(); err != nil {
		return err
	}
	logger.Info("Started", zap.String("VM", settings.VM), zap.String("Zone", settings.Zone))
	select {
	case <-ctx.Done():
	case <-node.gossip.Superseded():
		logger.Error("Superseded", zap.String("VM", settings.VM))
	}
	logger.Info("Stopping", zap.String("VM", settings.VM))
	err = node.stop()
	logger.Info("Stopped", zap.String("VM", settings.VM), zap.Error(err))
	return err
}
