package cli

import (
	"context"
	"flag"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/event"
	"github.com/dandelionvane/dandelionvane/internal/gateway"
	"github.com/dandelionvane/dandelionvane/platform"
)

type gatewayCommand struct {
	env         Env
	metricsPort uint
}

func (*gatewayCommand) Name() string     { return "gateway" }
func (*gatewayCommand) Synopsis() string { return "run a gateway for published routes" }
func (*gatewayCommand) Usage() string {
	return `gateway [--metrics-port N]

Runs a gateway with the settings file that the platform names in the environment
variable ` + platform.SettingsVariable + `, until SIGTERM or SIGINT, which start a planned stop.
The file is reloaded within two seconds of a change, and on SIGHUP.

Logs go to standard output. With --metrics-port, GET /metrics, GET /dump, GET /place and the
calls of the blocked command are served on that port, at the IP address on which the process
serves other gateways.

Flags:
`
}

// SetFlags implements subcommands.Command.
func (c *gatewayCommand) SetFlags(f *flag.FlagSet) {
	f.UintVar(&c.metricsPort, "metrics-port", 0, "TCP port for metrics, the state dump, and the place and blocked commands; 0 disables it")
}

func (c *gatewayCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if problem := argumentProblem(f); problem != "" {
		return c.env.usageError(c.Name(), problem)
	}
	if err := c.run(ctx); err != nil {
		return c.env.fail(c.Name(), err)
	}
	return subcommands.ExitSuccess
}

// logFlushTimeout bounds how long the exiting process waits for its log output to be read.
const logFlushTimeout = 100 * time.Millisecond

func (c *gatewayCommand) run(ctx context.Context) error {
	event.SetOutput(c.env.Stdout)
	defer event.Flush(logFlushTimeout)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	return gateway.Run(ctx, gateway.Options{
		LoadSettings:  c.loadSettings,
		ReloadSignals: reload,
		Protocol:      platform.StoreProtocol{},
		HeaderCodec:   platform.HeaderCodec{},
	})
}

// loadSettings reads the settings file named by the environment variable and adds the operator listener's address
// if there is a metrics port.
func (c *gatewayCommand) loadSettings() (gateway.Settings, []error) {
	s, errs := readGatewaySettings(os.Getenv(platform.SettingsVariable))
	if host, _, err := net.SplitHostPort(s.Listen.Control); err == nil && c.metricsPort != 0 {
		s.Listen.Operator = net.JoinHostPort(host, strconv.FormatUint(uint64(c.metricsPort), 10))
	}
	return s, errs
}

func readGatewaySettings(file string) (gateway.Settings, []error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return gateway.Settings{}, []error{errors.Wrap(err, "settings file of a gateway")}
	}
	return platform.ParseSettings(string(text))
}
