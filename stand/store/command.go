package store

import (
	"context"

	"github.com/alecthomas/kingpin/v2"
	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/greengagewind/greengagewind/stand/command"
)

// Command declares the subcommand "stand store" and returns its name and action.
func Command(app *kingpin.Application, streams command.Streams) (string, command.Run) {
	o := &Options{Logger: newLogger(streams)}
	c := app.Command("store", "run an in-memory key-value store with fault injection")
	c.Flag("listen", "host:port for the store's calls").Default("127.0.0.1:2379").StringVar(&o.Listen)
	c.Flag("control", "host:port for POST /fault, POST /lapse and GET /counts").
		Default("127.0.0.1:2380").StringVar(&o.Control)
	c.Flag("seed", "seed of the random selection of calls that get a fault").Default("1").Uint64Var(&o.Seed)
	return c.FullCommand(), func(ctx context.Context) error { return Run(ctx, o) }
}

// newLogger returns a logger that writes logfmt lines to the standard error of
// streams.
func newLogger(streams command.Streams) *zap.Logger {
	encoder := zaplogfmt.NewEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, zapcore.AddSync(streams.Err), zapcore.InfoLevel))
}
