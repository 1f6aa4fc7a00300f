package cli

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"net/http"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/crasher"
)

type blockedCommand struct {
	operatorCommand
	lift string // fingerprint or trait
}

func (*blockedCommand) Name() string { return "blocked" }
func (*blockedCommand) Synopsis() string {
	return "list the requests that are blocked, or lift a block"
}
func (*blockedCommand) Usage() string {
	return `blocked --operator IP:PORT [--json]
blocked --operator IP:PORT --lift FINGERPRINT|part:ID|model:ID

Lists the requests that a gateway blocks because they crash the endpoints that run them, and
those that are on trial, with the ends of endpoint processes that count against each; and what
requests of different contents share that crashes endpoints: parts of the prompt, or the model.

With --lift, clears a request of these ends, or all requests with a part of the prompt or for
a model. The gateway tells the others. It is blocked again after three more ends.

Examples:
  dandelionvane blocked --operator 127.0.0.1:9090
  dandelionvane blocked --operator 127.0.0.1:9090 --lift 5be1c3f0a94d2e77
  dandelionvane blocked --operator 127.0.0.1:9090 --lift part:5c1e07a2

Flags:
`
}

// SetFlags implements subcommands.Command.
func (c *blockedCommand) SetFlags(f *flag.FlagSet) {
	c.operatorCommand.SetFlags(f)
	f.StringVar(&c.lift, "lift", "", "what to clear: the fingerprint of a request, 16 hexadecimal digits, or part:ID or model:ID as listed")
}

func (c *blockedCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if problem := cmp.Or(argumentProblem(f, "operator"), operatorAddrProblem(c.operatorAddr), c.liftProblem()); problem != "" {
		return c.env.usageError(c.Name(), problem)
	}
	run := c.list
	if c.lift != "" {
		run = c.liftBlock
	}
	if err := run(ctx); err != nil {
		return c.env.fail(c.Name(), err)
	}
	return subcommands.ExitSuccess
}

func (c *blockedCommand) liftProblem() string {
	if c.lift == "" {
		return ""
	}
	_, err := crasher.ParseFingerprint(c.lift)
	if strings.Contains(c.lift, ":") {
		_, err = crasher.ParseTrait(c.lift)
	}
	if err != nil {
		return "--lift: " + err.Error()
	}
	return ""
}

func (c *blockedCommand) list(ctx context.Context) error { return c.print(ctx, "/blocked") }

func (c *blockedCommand) liftBlock(ctx context.Context) error {
	_, err := request(ctx, http.MethodDelete, c.operatorAddr, "/blocked/"+c.lift)
	var notFound notFoundError
	if errors.As(err, &notFound) {
		return errors.Errorf("this gateway knows nothing against %s", c.lift)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.env.Stdout, "%s is cleared, and the other gateways are told\n", c.lift)
	return err
}
