// Command ggw is the command-line tool for operators of a greengagewind fleet.
package main

import (
	"context"
	"crypto/rand"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/zeromicro/go-zero/core/logx"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/transport/etcd"
	"github.com/greengagewind/greengagewind/ggw/cli"
	"github.com/greengagewind/greengagewind/ggw/fleet"
	"github.com/greengagewind/greengagewind/ggw/root"
)

func main() {
	// Without this call, go-zero's HTTP client would log each call to standard
	// output, where the command prints its results.
	logx.Disable()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := root.Run(ctx, os.Args[1:], cli.Env{
		Streams:    cli.ProcessStreams(),
		Clock:      systemClock{},
		Random:     rand.Reader,
		Store:      func(endpoints []string) gage.Store { return etcd.New(endpoints) },
		NodeClient: fleet.New(),
	})
	stop()
	os.Exit(code)
}

type systemClock struct{}

func (systemClock) Now() time.Time {
	return time.Now()
}
