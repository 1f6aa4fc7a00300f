// Command dandelionvane runs a router or a gateway, checks settings and lists, issues certificates and queries running
// routers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/dandelionvane/dandelionvane/internal/cli"
	"github.com/dandelionvane/dandelionvane/internal/router"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(cli.Run(ctx, cli.Env{
		Args:   os.Args[1:],
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		Router: router.Run,
	}))
}
