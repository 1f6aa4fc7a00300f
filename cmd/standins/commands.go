package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/go-chi/chi/v5"
	"github.com/google/subcommands"

	"github.com/dandelionvane/dandelionvane/internal/standin"
	"github.com/dandelionvane/dandelionvane/internal/standin/engine"
	"github.com/dandelionvane/dandelionvane/internal/standin/link"
	"github.com/dandelionvane/dandelionvane/internal/standin/platform"
	"github.com/dandelionvane/dandelionvane/internal/standin/service"
)

// server is a running stand-in.
type server interface {
	Addr() string
	Close() error
}

// serve prints the stand-in's address and runs the stand-in until standard input is closed, which also happens when the
// parent process exits.
func serve(s server, err error) subcommands.ExitStatus {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Println(s.Addr())
	_, _ = io.Copy(io.Discard, os.Stdin)
	if err := s.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// listenFlag defines the flag for the listen address of a stand-in.
func listenFlag(f *flag.FlagSet, addr *string) {
	f.StringVar(addr, "listen", "127.0.0.1:0", "IP:port to listen on")
}

type engineCommand struct {
	listen string
	cfg    engine.Config
}

func (*engineCommand) Name() string     { return "engine" }
func (*engineCommand) Synopsis() string { return "run a stand-in of a model engine" }
func (*engineCommand) Usage() string    { return "standins engine [flags]\n" }

func (c *engineCommand) SetFlags(f *flag.FlagSet) {
	d := engine.DefaultConfig("engine")
	listenFlag(f, &c.listen)
	f.StringVar((*string)(&c.cfg.ID), "id", string(d.ID), "endpoint id")
	f.StringVar((*string)(&c.cfg.Model), "model", "", "model served; empty: any model")
	f.IntVar(&c.cfg.Capacity, "capacity", d.Capacity, "maximum of concurrent requests when warm")
	f.IntVar(&c.cfg.QueueLimit, "queue", d.QueueLimit, "maximum of queued requests")
	f.DurationVar(&c.cfg.TokenInterval, "token-interval", d.TokenInterval, "time between tokens with one request in progress")
	f.Float64Var(&c.cfg.Slowdown, "slowdown", d.Slowdown, "relative increase of the token interval per further concurrent request")
	f.IntVar(&c.cfg.CacheBlocks, "cache-blocks", d.CacheBlocks, "capacity of the prefix cache, in blocks of 16 tokens")
	f.DurationVar(&c.cfg.LoadReportDelay, "load-lag", 0, "age of load reports")
	f.DurationVar(&c.cfg.CacheEventDelay, "event-lag", 0, "delay of cache events")
	f.IntVar(&c.cfg.DropEveryNthEvent, "event-gap", 0, "drop every Nth cache event; 0: none")
	f.DurationVar(&c.cfg.ReaderGracePeriod, "grace", d.ReaderGracePeriod, "how long a stream without a reader is kept")
	f.IntVar(&c.cfg.ColdCapacity, "cold-capacity", d.ColdCapacity, "maximum of concurrent requests right after the start")
	f.DurationVar(&c.cfg.ColdStartDuration, "cold-time", 0, "time from the start to full capacity")
	f.BoolVar(&c.cfg.ChecksFence, "checks-fence", false, "refuse orders with a fencing token below that of the last order")
}

func (c *engineCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return serve(engine.Start(c.listen, c.cfg))
}

type serviceCommand struct {
	listen string
	cfg    service.Config
}

func (*serviceCommand) Name() string     { return "service" }
func (*serviceCommand) Synopsis() string { return "run a stand-in of a service replica" }
func (*serviceCommand) Usage() string    { return "standins service [flags]\n" }

func (c *serviceCommand) SetFlags(f *flag.FlagSet) {
	listenFlag(f, &c.listen)
	f.StringVar(&c.cfg.ID, "id", "service", "endpoint id")
	f.IntVar(&c.cfg.Capacity, "capacity", 0, "maximum of concurrent requests, above which requests are refused; 0: no limit")
	f.DurationVar(&c.cfg.Delay, "delay", 0, "duration of each execution")
}

func (c *serviceCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return serve(service.Start(c.listen, c.cfg))
}

type platformCommand struct{ listen string }

func (*platformCommand) Name() string               { return "platform" }
func (*platformCommand) Synopsis() string           { return "run a stand-in of the platform" }
func (*platformCommand) Usage() string              { return "standins platform [flags]\n" }
func (c *platformCommand) SetFlags(f *flag.FlagSet) { listenFlag(f, &c.listen) }
func (c *platformCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return serve(platform.Start(c.listen))
}

type linkCommand struct{ listen, control, target, network string }

func (*linkCommand) Name() string     { return "link" }
func (*linkCommand) Synopsis() string { return "run a TCP or UDP proxy with fault injection" }
func (*linkCommand) Usage() string    { return "standins link -target IP:port [flags]\n" }

func (c *linkCommand) SetFlags(f *flag.FlagSet) {
	listenFlag(f, &c.listen)
	f.StringVar(&c.control, "control", "127.0.0.1:0", "IP:port of the control interface, printed after the proxy address")
	f.StringVar(&c.target, "target", "", "IP:port to relay to")
	f.StringVar(&c.network, "network", "tcp", "tcp or udp")
}

func (c *linkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	l, err := link.Start(c.network, c.listen, c.target)
	if err != nil {
		return serve(nil, err)
	}
	fmt.Println(l.Addr())
	r := chi.NewRouter()
	standin.HandleControl(r, l.Inject, func() struct{} { return struct{}{} })
	return serve(standin.Listen(c.control, r))
}
