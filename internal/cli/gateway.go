package cli

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/gateway"
	"github.com/dandelionvane/dandelionvane/platform"
)

type gatewayCommand struct{ env Env }

func (*gatewayCommand) Name() string           { return "gateway" }
func (*gatewayCommand) Synopsis() string       { return "run a gateway for published routes" }
func (*gatewayCommand) SetFlags(*flag.FlagSet) {}
func (*gatewayCommand) Usage() string {
	return `gateway

Runs a gateway with the settings file that the platform names in the environment
variable ` + platform.SettingsVariable + `, until SIGTERM or SIGINT, which begin a planned stop.
The file is read again when it changes, at the latest two seconds later, and on SIGHUP.
`
}

func (c *gatewayCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if problem := needs(f); problem != "" {
		return c.env.usage(c.Name(), problem)
	}
	if err := c.run(ctx); err != nil {
		return c.env.fail(c.Name(), err)
	}
	return subcommands.ExitSuccess
}

func (c *gatewayCommand) run(ctx context.Context) error {
	event.LogTo(c.env.Stdout)
	defer klog.Flush()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	return gateway.Run(ctx, gateway.Options{
		Load:     loadSettings,
		Reload:   reload,
		Protocol: platform.Store{},
		Dialect:  platform.Headers{},
	})
}

// loadSettings reads the settings file that the environment names.
func loadSettings() (gateway.Settings, []error) {
	text, err := os.ReadFile(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return gateway.Settings{}, []error{errors.Wrapf(err, "settings file of %s", platform.SettingsVariable)}
	}
	return platform.ParseSettings(string(text))
}
