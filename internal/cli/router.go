package cli

import (
	"context"
	"flag"
	"strconv"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/dandelionvane/dandelionvane/internal/keys"
	"github.com/dandelionvane/dandelionvane/internal/settings"
)

type routerCommand struct {
	env          Env
	settingsFile string
}

func (*routerCommand) Name() string     { return "router" }
func (*routerCommand) Synopsis() string { return "run a router" }
func (*routerCommand) Usage() string {
	return `router --settings FILE

Runs a router until SIGTERM or SIGINT, which start a planned stop: the router reports to the
load balancer that it is not ready, hands over the resources that it owns, completes the
requests in progress and exits with 0.

Example:
  dandelionvane router --settings examples/coulee/settings/north-1.toml

Flags:
`
}

func (c *routerCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settingsFile, "settings", "", "settings file of this instance")
}

func (c *routerCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if problem := argumentProblem(f, "settings"); problem != "" {
		return c.env.usageError(c.Name(), problem)
	}
	s, faults := settings.Load(c.settingsFile)
	c.env.printFaults(faults)
	if s == nil {
		return c.env.fail(c.Name(), errors.New("the settings are invalid; nothing was started"))
	}
	if err := c.run(ctx, s); err != nil {
		return c.env.fail(c.Name(), err)
	}
	return subcommands.ExitSuccess
}

func (c *routerCommand) run(ctx context.Context, s *settings.Settings) error {
	if c.env.Router == nil {
		return errors.New("this program was built without a router")
	}
	if _, err := keys.LoadTLSConfigForInstance(s.Instance.ID, s.TLS.CA, s.TLS.Certificate, s.TLS.Key); err != nil {
		return errors.Wrapf(err, "%s: [tls]", c.settingsFile)
	}
	if err := setVerbosity(s.Log.Verbosity); err != nil {
		return err
	}
	defer klog.Flush()
	return c.env.Router(ctx, s)
}

func setVerbosity(level int) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	return errors.Wrap(flags.Set("v", strconv.Itoa(level)), "set log verbosity")
}
