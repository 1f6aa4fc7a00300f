package cli

import (
	"context"
	"flag"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	operatorRequestTimeout   = 10 * time.Second
	maxOperatorResponseBytes = 64 << 20
)

// operatorCommand holds the flags common to the commands that query a router's operator listener.
type operatorCommand struct {
	env          Env
	operatorAddr string
	json         bool
}

// SetFlags implements subcommands.Command.
func (c *operatorCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.operatorAddr, "operator", "", "IP:PORT of the router's operator listener")
	f.BoolVar(&c.json, "json", false, "print JSON instead of tables")
}

// print fetches a path of the router's operator listener and prints the JSON document.
func (c *operatorCommand) print(ctx context.Context, path string) error {
	doc, err := fetch(ctx, c.operatorAddr, path)
	if err != nil {
		return err
	}
	return c.env.printDocument(doc, c.json)
}

// maxDetailBytes limits how much of an error response's body is shown.
const maxDetailBytes = 256

// notFoundError is a response with status 404; detail is the start of its body.
type notFoundError struct{ detail string }

// Error implements error.
func (e notFoundError) Error() string { return "not found: " + e.detail }

// fetch returns the response body of a GET request to a router's operator listener. A response with status 404 is
// returned as a notFoundError.
func fetch(ctx context.Context, addr, path string) ([]byte, error) {
	return request(ctx, http.MethodGet, addr, path)
}

// request returns the response body of a request to a router's operator listener, as fetch does.
func request(ctx context.Context, method, addr, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorRequestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "the router's operator listener cannot be reached; see listen.operator of its settings")
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNoContent:
	case http.StatusNotFound:
		return nil, notFoundError{detail(resp.Body)}
	default:
		if text := detail(resp.Body); text != "" {
			return nil, errors.Errorf("%s answered %s: %s", req.URL, resp.Status, text)
		}
		return nil, errors.Errorf("%s answered %s", req.URL, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxOperatorResponseBytes+1))
	if err != nil {
		return nil, errors.Wrapf(err, "read the response of %s", req.URL)
	}
	if len(body) > maxOperatorResponseBytes {
		return nil, errors.Errorf("%s is larger than %d bytes", req.URL, maxOperatorResponseBytes)
	}
	return body, nil
}

// detail returns the start of an error response's body.
func detail(r io.Reader) string {
	text, _ := io.ReadAll(io.LimitReader(r, maxDetailBytes)) // the part read before an error is still useful
	return replaceControlChars(strings.TrimSpace(string(text)))
}

// operatorAddrProblem returns a description of the problem with an operator listener's address, or "" if it is valid.
func operatorAddrProblem(addr string) string { return addrProblem("operator", addr) }

// addrProblem is operatorAddrProblem for the address in a named flag.
func addrProblem(flag, addr string) string {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return "--" + flag + " is not IP:PORT, as in 127.0.0.1:9090"
	}
	return ""
}

// printDocument writes a JSON document unchanged or as tables.
func (e Env) printDocument(doc []byte, asJSON bool) error {
	if asJSON {
		_, err := e.Stdout.Write(append(doc, '\n'))
		return err
	}
	v, err := parseValue(doc)
	if err != nil {
		return errors.Wrap(err, "the router's answer is not JSON")
	}
	return writeTables(e.Stdout, v)
}
