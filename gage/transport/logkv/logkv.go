// Package logkv builds loggers that write one line of key=value pairs for
// each event.
package logkv

import (
	"fmt"
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"github.com/zeromicro/go-zero/core/logx"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// New returns a logger that writes events of the given level and above to w. The
// level is debug, info, warn or error.
func New(w io.Writer, level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("invalid log level %q; use debug, info, warn or error", level)
	}
	encoding := zapcore.EncoderConfig{
		TimeKey:        "Time",
		LevelKey:       "Level",
		MessageKey:     "Event",
		EncodeTime:     zapcore.RFC3339NanoTimeEncoder,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
	}
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoding), zapcore.Lock(zapcore.AddSync(w)), parsed)
	return zap.New(core), nil
}

// SilenceLibraries turns off the log lines and statistics of go-zero, which do not
// have the format of one line of key=value pairs for each event.
func SilenceLibraries() {
	logx.Disable()
	logx.DisableStat()
}
