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

// serve prints the stand-in's address and runs it until standard input ends, which it does when the parent is gone.
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

// listenFlag adds the flag for the address of a stand-in.
func listenFlag(f *flag.FlagSet, addr *string) {
	f.StringVar(addr, "listen", "127.0.0.1:0", "IP:port to listen on")
}

type engineCommand struct {
	listen string
	cfg    engine.Config
}

func (*engineCommand) Name() string     { return "engine" }
func (*engineCommand) Synopsis() string { return "run a model engine" }
func (*engineCommand) Usage() string    { return "standins engine [flags]\n" }

func (c *engineCommand) SetFlags(f *flag.FlagSet) {
	d := engine.DefaultConfig("engine")
	listenFlag(f, &c.listen)
	f.StringVar((*string)(&c.cfg.ID), "id", string(d.ID), "endpoint id")
	f.StringVar((*string)(&c.cfg.Model), "model", "", "model that it serves, empty for any")
	f.IntVar(&c.cfg.Capacity, "capacity", d.Capacity, "concurrent requests when warm")
	f.IntVar(&c.cfg.QueueLimit, "queue", d.QueueLimit, "requests that wait beside them")
	f.DurationVar(&c.cfg.TokenInterval, "token-interval", d.TokenInterval, "between the tokens of a lone request")
	f.Float64Var(&c.cfg.Slowdown, "slowdown", d.Slowdown, "growth of the interval for each further request")
	f.IntVar(&c.cfg.CacheBlocks, "cache-blocks", d.CacheBlocks, "prefix blocks of 16 tokens in the cache")
	f.DurationVar(&c.cfg.LoadReportDelay, "load-lag", 0, "age of load reports")
	f.DurationVar(&c.cfg.CacheEventDelay, "event-lag", 0, "delay of cache events")
	f.IntVar(&c.cfg.DropEveryNthEvent, "event-gap", 0, "each how manieth cache event is lost, 0 for none")
	f.DurationVar(&c.cfg.ReaderGracePeriod, "grace", d.ReaderGracePeriod, "how long a stream without reader is kept")
	f.IntVar(&c.cfg.ColdCapacity, "cold-capacity", d.ColdCapacity, "concurrent requests right after a start")
	f.DurationVar(&c.cfg.ColdStartDuration, "cold-time", 0, "until full capacity")
	f.BoolVar(&c.cfg.ChecksFence, "checks-fence", false, "refuse orders with an old fencing number")
}

func (c *engineCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return serve(engine.Start(c.listen, c.cfg))
}

type serviceCommand struct {
	listen string
	cfg    service.Config
}

func (*serviceCommand) Name() string     { return "service" }
func (*serviceCommand) Synopsis() string { return "run a plain service that counts its runs" }
func (*serviceCommand) Usage() string    { return "standins service [flags]\n" }

func (c *serviceCommand) SetFlags(f *flag.FlagSet) {
	listenFlag(f, &c.listen)
	f.StringVar(&c.cfg.ID, "id", "service", "endpoint id")
	f.IntVar(&c.cfg.Capacity, "capacity", 0, "concurrent calls beyond which it refuses, 0 for no limit")
	f.DurationVar(&c.cfg.Delay, "delay", 0, "of each run")
}

func (c *serviceCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return serve(service.Start(c.listen, c.cfg))
}

type platformCommand struct{ listen string }

func (*platformCommand) Name() string               { return "platform" }
func (*platformCommand) Synopsis() string           { return "run the platform's read and watch service" }
func (*platformCommand) Usage() string              { return "standins platform [flags]\n" }
func (c *platformCommand) SetFlags(f *flag.FlagSet) { listenFlag(f, &c.listen) }
func (c *platformCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	return serve(platform.Start(c.listen))
}

type linkCommand struct{ listen, control, target, network string }

func (*linkCommand) Name() string     { return "link" }
func (*linkCommand) Synopsis() string { return "relay TCP or UDP over a path that can fail" }
func (*linkCommand) Usage() string    { return "standins link -target IP:port [flags]\n" }

func (c *linkCommand) SetFlags(f *flag.FlagSet) {
	listenFlag(f, &c.listen)
	f.StringVar(&c.control, "control", "127.0.0.1:0", "IP:port of the control calls, printed after the relay's")
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
