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

	"github.com/dandelionvane/dandelionvane/internal/story"
)

type explainCommand struct {
	operatorView
	logs string
}

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "show why a request went where it did" }
func (*explainCommand) Usage() string {
	return `explain --operator IP:PORT [--json] REQUEST-ID
explain --logs FILE[,FILE...] REQUEST-ID

Shows why a request went where it did, or was refused: each decision with its inputs and
its rule. The request id is in the answer's Dandelionvane-Request-Id header and in
refusals. Ask the router that took the request; it remembers its latest requests only.

With --logs the story is told from the logs of gateways, - for standard input: the way of
the request, what its process believed and lost meanwhile, what other processes say of
the same endpoints, and the cause. The request id is the caller's own.

Examples:
  dandelionvane explain --operator 127.0.0.1:9090 6f1c0a52b3d94e7f8a90d1e2c3b4a596
  dandelionvane explain --logs north-1.log,south-2.log 9c41d07be2a35f68

Flags:
`
}

// SetFlags implements subcommands.Command.
func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	c.operatorView.SetFlags(f)
	f.StringVar(&c.logs, "logs", "", "logs of gateways, separated by commas, - for standard input")
}

func (c *explainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if problem := c.problem(f); problem != "" {
		return c.env.usage(c.Name(), problem)
	}
	id := f.Arg(0)
	if c.logs != "" {
		return c.fromLogs(id)
	}
	err := c.print(ctx, "/explain/"+url.PathEscape(id))
	var missing notFoundError
	if errors.As(err, &missing) {
		return c.env.fail(c.Name(), errors.Errorf("this router does not remember request %q (%s): ask the router that took it, soon after", id, missing.detail))
	}
	if err != nil {
		return c.env.fail(c.Name(), err)
	}
	return subcommands.ExitSuccess
}

func (c *explainCommand) problem(f *flag.FlagSet) string {
	if f.NArg() != 1 {
		return "give one request id, after the flags"
	}
	if c.logs != "" {
		return ""
	}
	return operatorProblem(c.operator)
}

func (c *explainCommand) fromLogs(id string) subcommands.ExitStatus {
	lines, err := readLogs(strings.Split(c.logs, ","))
	if err != nil {
		return c.env.fail(c.Name(), err)
	}
	s, err := story.Reconstruct(lines, id)
	if err != nil {
		return c.env.fail(c.Name(), errors.Wrapf(err, "%q in %d events of %s", id, len(lines), c.logs))
	}
	if err := s.Write(c.env.Stdout); err != nil {
		return c.env.fail(c.Name(), err)
	}
	return subcommands.ExitSuccess
}

func readLogs(names []string) ([]story.Line, error) {
	var lines []story.Line
	for _, name := range names {
		ls, err := readLog(name)
		if err != nil {
			return nil, err
		}
		lines = append(lines, ls...)
	}
	return lines, nil
}

func readLog(name string) ([]story.Line, error) {
	if name == "-" {
		return story.Parse(os.Stdin, "standard input")
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "log")
	}
	defer f.Close()
	return story.Parse(f, filepath.Base(name))
}
