package cli

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/google/subcommands"

	"github.com/dandelionvane/dandelionvane/internal/settings"
)

const program = "dandelionvane"

// RouterFunc runs a router until ctx is done and its planned stop is complete.
type RouterFunc func(ctx context.Context, s *settings.Settings) error

// Env is what the command line needs from its process.
type Env struct {
	Args   []string // without the program's name
	Stdout io.Writer
	Stderr io.Writer
	Router RouterFunc
}

// Run executes one command and returns the exit code of the process: 0 on success,
// 1 on faults or failure, 2 on wrong usage.
func Run(ctx context.Context, env Env) int {
	flags := flag.NewFlagSet(program, flag.ContinueOnError)
	flags.SetOutput(env.Stderr)
	cdr := subcommands.NewCommander(flags, program)
	cdr.Output = env.Stdout
	cdr.Error = env.Stderr
	cdr.Register(cdr.HelpCommand(), "help")
	cdr.Register(cdr.CommandsCommand(), "help")
	for _, c := range []subcommands.Command{
		&routerCommand{env: env},
		&gatewayCommand{env: env},
		&checkCommand{env: env},
		&certsCommand{env: env},
		&versionCommand{env: env},
	} {
		cdr.Register(c, "running a fleet")
	}
	for _, c := range []subcommands.Command{
		&dumpCommand{operatorView{env: env}},
		&explainCommand{operatorView: operatorView{env: env}},
	} {
		cdr.Register(c, "looking into a running router")
	}
	if err := flags.Parse(env.Args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(cdr.Execute(ctx))
}

// fail reports why a command failed.
func (e Env) fail(name string, err error) subcommands.ExitStatus {
	fmt.Fprintf(e.Stderr, "%s %s: %v\n", program, name, err)
	return subcommands.ExitFailure
}

// usage reports a wrong use of a command.
func (e Env) usage(name, problem string) subcommands.ExitStatus {
	fmt.Fprintf(e.Stderr, "%[1]s %[2]s: %[3]s\nRun '%[1]s help %[2]s' for its use and examples.\n", program, name, problem)
	return subcommands.ExitUsageError
}

// needs returns what is wrong with the arguments when a flag is empty or arguments are left.
func needs(f *flag.FlagSet, names ...string) string {
	for _, name := range names {
		if f.Lookup(name).Value.String() == "" {
			return "--" + name + " is missing"
		}
	}
	if f.NArg() > 0 {
		return fmt.Sprintf("unexpected argument %q", f.Arg(0))
	}
	return ""
}
