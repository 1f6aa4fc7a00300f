package cli

import (
	"context"
	"flag"
	"net/url"
	"os"
	"path/filepath"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/trace"
)

type explainCommand struct {
	operatorCommand
	logs string
}

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "show how a request was routed and why" }
func (*explainCommand) Usage() string {
	return `explain --operator IP:PORT [--json] REQUEST-ID
explain --logs FILE[,FILE...] REQUEST-ID

Shows why a request was routed to its endpoint or was refused: each decision with its inputs
and its rule. The request id is in the response header Dandelionvane-Request-Id and in the
body of a refusal. Query the router that received the request, soon after: a router keeps only
its most recent requests.

With --logs, reconstructs the request from the logs of gateways (- for standard input): the
trace of the request, the state changes in its process during that time, what other processes
logged about the same endpoints, and the cause. The request id is the one that the caller sent.

Examples:
  dandelionvane explain --operator 127.0.0.1:9090 6f1c0a52b3d94e7f8a90d1e2c3b4a596
  dandelionvane explain --logs north-1.log,south-2.log 9c41d07be2a35f68

Flags:
`
}

// SetFlags implements subcommands.Command.
func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	c.operatorCommand.SetFlags(f)
	f.StringVar(&c.logs, "logs", "", "log files of gateways, separated by commas; - for standard input")
}

func (c *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if problem := c.argumentProblem(f); problem != "" {
		return c.env.usageError(c.Name(), problem)
	}
	id := f.Arg(0)
	if c.logs != "" {
		return c.explainFromLogs(id)
	}
	err := c.print(ctx, "/explain/"+url.PathEscape(id))
	var notFound notFoundError
	if errors.As(err, &notFound) {
		return c.env.fail(c.Name(), errors.Errorf("this router does not remember request %q (%s): ask the router that took it, soon after", id, notFound.detail))
	}
	if err != nil {
		return c.env.fail(c.Name(), err)
	}
	return subcommands.ExitSuccess
}

func (c *explainCommand) argumentProblem(f *flag.FlagSet) string {
	if f.NArg() != 1 {
		return "give one request id, after the flags"
	}
	if c.logs != "" {
		return ""
	}
	return operatorAddrProblem(c.operatorAddr)
}

func (c *explainCommand) explainFromLogs(id string) subcommands.ExitStatus {
	lines, err := readLogs(strings.Split(c.logs, ","))
	if err != nil {
		return c.env.fail(c.Name(), err)
	}
	tr, err := trace.Reconstruct(lines, id)
	if err != nil {
		return c.env.fail(c.Name(), errors.Wrapf(err, "%q in %d events of %s", id, len(lines), c.logs))
	}
	if err := tr.Write(c.env.Stdout); err != nil {
		return c.env.fail(c.Name(), err)
	}
	return subcommands.ExitSuccess
}

func readLogs(names []string) ([]trace.Line, error) {
	var lines []trace.Line
	for _, name := range names {
		ls, err := readLog(name)
		if err != nil {
			return nil, err
		}
		lines = append(lines, ls...)
	}
	return lines, nil
}

func readLog(name string) ([]trace.Line, error) {
	if name == "-" {
		return trace.Parse(os.Stdin, "standard input")
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	defer f.Close()
	return trace.Parse(f, filepath.Base(name))
}
