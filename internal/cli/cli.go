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

// RouterFunc runs a router until ctx is done, and returns when the planned stop that follows is complete.
type RouterFunc func(ctx context.Context, s *settings.Settings) error

// Env provides the process's arguments and output streams, and the router that the router command runs.
type Env struct {
	Args   []string // without the program name
	Stdout io.Writer
	Stderr io.Writer
	Router RouterFunc
}

// Run executes one command and returns the exit code of the process: 0 on success, 1 if the command
// failed or found errors, 2 on a usage error.
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
		&dumpCommand{operatorCommand{env: env}},
		&explainCommand{operatorCommand: operatorCommand{env: env}},
		&placeCommand{env: env},
		&blockedCommand{operatorCommand: operatorCommand{env: env}},
	} {
		cdr.Register(c, "inspecting a running router")
	}
	if err := flags.Parse(env.Args); err != nil {
		return int(subcommands.ExitUsageError)
	}
	return int(cdr.Execute(ctx))
}

// fail prints the error of a command and returns the exit status of a failure.
func (e Env) fail(name string, err error) subcommands.ExitStatus {
	fmt.Fprintf(e.Stderr, "%s %s: %v\n", program, name, err)
	return subcommands.ExitFailure
}

// usageError prints a usage error of a command and returns the exit status for it.
func (e Env) usageError(name, problem string) subcommands.ExitStatus {
	fmt.Fprintf(e.Stderr, "%[1]s %[2]s: %[3]s\nRun '%[1]s help %[2]s' for usage and examples.\n", program, name, problem)
	return subcommands.ExitUsageError
}

// argumentProblem returns a description of the first of the named flags that is empty, or else of the first
// positional argument, and "" if there is neither.
func argumentProblem(f *flag.FlagSet, names ...string) string {
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
