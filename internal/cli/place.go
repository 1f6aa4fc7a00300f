package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"net/url"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/control"
)

type placeCommand struct {
	env   Env
	addr  string
	json  bool
	all   bool
	query map[string]*string // parameters of the query, by name
}

func (*placeCommand) Name() string     { return "place" }
func (*placeCommand) Synopsis() string { return "show where a request would go now and why" }
func (*placeCommand) Usage() string {
	return `place --addr IP:PORT --host HOST --path PATH [--workspace ID] [--service ID] [--model NAME]
      [--parts ID:TOKENS,...] [--tokens PROMPT,MAX_OUTPUT] [--hint TOKENS] [--deadline-ms MS]
      [--version VERSION] [--all] [--json]

Asks a running gateway, at its operators' address, where a request would go now, without sending
it: the endpoints of its service, best first, with what excludes each, and in the last line the
decision, or the rejection with its Retry-After. Asking changes nothing.

The workspace is given by its ID; there is no way to pass an API key. Without --workspace, the
check of the key is left out. --parts has the parts of the prompt as the caller sends them, the
last of which is the request's own. --version is the software version that a resumed stream needs.
--service selects one service of a route that has several.

With --all, asks every gateway that the asked one knows, at the same port, and shows where they
decide otherwise.

Examples:
  dandelionvane place --addr 127.0.0.1:9090 --host api.example --path /chat/x --workspace w-17
  dandelionvane place --addr 127.0.0.1:9090 --host api.example --path /chat/x --parts 5c1e07a2:800,e4402b7d:250 --all
  dandelionvane place --addr 127.0.0.1:9090 --host api.example --path /book/x --json

Flags:
`
}

// SetFlags implements subcommands.Command.
func (c *placeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.addr, "addr", "", "IP:PORT of the gateway's operators' address")
	f.BoolVar(&c.json, "json", false, "print JSON instead of tables")
	f.BoolVar(&c.all, "all", false, "ask every gateway that the asked one knows, and show where they differ")
	c.query = map[string]*string{}
	for _, p := range []struct{ name, flag, usage string }{
		{"host", "host", "host of the request"},
		{"path", "path", "path of the request"},
		{"workspace", "workspace", "ID of the workspace"},
		{"service", "service", "service to explain, of a route with several"},
		{"model", "model", "model of the request"},
		{"parts", "parts", "parts of the prompt, as ID:TOKENS,ID:TOKENS"},
		{"tokens", "tokens", "tokens of the prompt and maximum of the output, as PROMPT,MAX_OUTPUT"},
		{"hint", "hint", "estimated output tokens"},
		{"deadline_ms", "deadline-ms", "time until the caller's deadline in milliseconds"},
		{"version", "version", "software version that the request needs"},
	} {
		c.query[p.name] = f.String(p.flag, "", p.usage)
	}
}

func (c *placeCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if problem := cmp.Or(argumentProblem(f, "addr", "host", "path"), addrProblem("addr", c.addr)); problem != "" {
		return c.env.usageError(c.Name(), problem)
	}
	run := c.askOne
	if c.all {
		run = c.askAll
	}
	if err := run(ctx); err != nil {
		return c.env.fail(c.Name(), err)
	}
	return subcommands.ExitSuccess
}

// path returns the path and query string of the question.
func (c *placeCommand) path() string {
	values := url.Values{}
	for name, v := range c.query {
		if *v != "" {
			values.Set(name, *v)
		}
	}
	return "/place?" + values.Encode()
}

// ask returns the answer of the gateway with an operators' address, and the same as JSON.
func (c *placeCommand) ask(ctx context.Context, addr string) (control.Explanation, []byte, error) {
	var x control.Explanation
	doc, err := fetch(ctx, addr, c.path())
	var notFound notFoundError
	if errors.As(err, &notFound) {
		return x, nil, errors.Errorf("%s does not answer this question: it runs an older version, or is not a gateway", addr)
	}
	if err != nil {
		return x, nil, err
	}
	if err := json.Unmarshal(doc, &x); err != nil {
		return x, nil, errors.Wrapf(err, "the answer of %s", addr)
	}
	return x, doc, nil
}

func (c *placeCommand) askOne(ctx context.Context) error {
	x, doc, err := c.ask(ctx, c.addr)
	if err != nil {
		return err
	}
	if c.json {
		return c.env.printDocument(doc, true)
	}
	return writePlace(c.env.Stdout, &x)
}
