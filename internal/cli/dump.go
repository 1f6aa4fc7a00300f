package cli

import (
	"cmp"
	"context"
	"flag"

	"github.com/google/subcommands"
)

type dumpCommand struct{ operatorCommand }

func (*dumpCommand) Name() string     { return "dump" }
func (*dumpCommand) Synopsis() string { return "show the state of a router" }
func (*dumpCommand) Usage() string {
	return `dump --operator IP:PORT [--json]

Shows the state of a running router, as tables or, with --json, as one JSON document. Long
tables are truncated; the JSON document is complete.

Examples:
  dandelionvane dump --operator 127.0.0.1:9090
  dandelionvane dump --operator 127.0.0.1:9090 --json > state.json

Flags:
`
}

func (c *dumpCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if problem := cmp.Or(argumentProblem(f, "operator"), operatorAddrProblem(c.operatorAddr)); problem != "" {
		return c.env.usageError(c.Name(), problem)
	}
	if err := c.print(ctx, "/dump"); err != nil {
		return c.env.fail(c.Name(), err)
	}
	return subcommands.ExitSuccess
}
