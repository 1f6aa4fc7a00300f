package cli

import (
	"context"
	"flag"
	"os"

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
	path := os.Getenv(platform.SettingsVariable)
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrapf(err, "settings file of %s", platform.SettingsVariable)
	}
	s, faults := platform.ParseSettings(string(text))
	for _, fault := range faults {
		event.Record(event.SettingsFault, "file", path, "err", fault.Error())
	}
	event.Record(event.SettingsRead, "file", path, "instance", s.Instance, "data_centre", s.DataCentre, "store", s.Store.Addr)
	defer klog.Flush()
	return gateway.Run(ctx, gateway.Options{Settings: s, Protocol: platform.Store{}, Dialect: platform.Headers{}})
}
