package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/dandelionvane/dandelionvane/internal/control"
)

const (
	// gatewayQueryTimeout bounds the question to one gateway of many, some of which may be down.
	gatewayQueryTimeout = 3 * time.Second
	// maxParallelQueries bounds the open connections while a whole fleet is asked.
	maxParallelQueries = 16
	// maxShownDifferences bounds the endpoints that are listed for one gateway; --json has all.
	maxShownDifferences = 4
)

// placeAnswer is the answer of one gateway, or the error.
type placeAnswer struct {
	Gateway     string               `json:"gateway"`
	Addr        string               `json:"addr"`
	Error       string               `json:"error,omitempty"`
	Explanation *control.Explanation `json:"explanation,omitempty"`
	Differences []string             `json:"differences,omitempty"` // from the answer of the asked gateway
}

// askAll asks the gateway and all others that it knows, at the same operators' port.
func (c *placeCommand) askAll(ctx context.Context) error {
	first, _, err := c.ask(ctx, c.addr)
	if err != nil {
		return err
	}
	answers, err := c.otherGateways(ctx, string(first.Gateway))
	if err != nil {
		return err
	}
	c.askEach(ctx, answers)
	for i := range answers {
		if x := answers[i].Explanation; x != nil {
			answers[i].Differences = differences(&first, x)
		}
	}
	answers = append([]placeAnswer{{Gateway: string(first.Gateway), Addr: c.addr, Explanation: &first}}, answers...)
	if c.json {
		doc, err := json.Marshal(answers)
		if err != nil {
			return err
		}
		return c.env.printDocument(doc, true)
	}
	return c.writeAll(&first, answers)
}

// otherGateways returns the gateways that the asked one knows, without itself, with their operators' addresses: those at which
// they serve other gateways, with the asked one's operators' port.
func (c *placeCommand) otherGateways(ctx context.Context, self string) ([]placeAnswer, error) {
	doc, err := fetch(ctx, c.addr, "/dump")
	if err != nil {
		return nil, err
	}
	var dump struct {
		Members []struct {
			ID          string `json:"id"`
			ControlAddr string `json:"control_addr"`
		} `json:"members"`
	}
	if err := json.Unmarshal(doc, &dump); err != nil {
		return nil, errors.Wrap(err, "the dump of the asked gateway")
	}
	_, port, err := net.SplitHostPort(c.addr)
	if err != nil {
		return nil, errors.Wrap(err, "--addr")
	}
	var out []placeAnswer
	for _, m := range dump.Members {
		if m.ID == self {
			continue
		}
		a := placeAnswer{Gateway: m.ID}
		host, _, err := net.SplitHostPort(m.ControlAddr)
		if err != nil {
			a.Error = fmt.Sprintf("its control address %q has no port", m.ControlAddr)
		}
		a.Addr = net.JoinHostPort(host, port)
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b placeAnswer) int { return strings.Compare(a.Gateway, b.Gateway) })
	return out, nil
}

// askEach fills in the answers of gateways, some of them at once.
func (c *placeCommand) askEach(ctx context.Context, answers []placeAnswer) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallelQueries)
	for i := range answers {
		a := &answers[i]
		if a.Error != "" {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, gatewayQueryTimeout)
			defer cancel()
			x, _, err := c.ask(ctx, a.Addr)
			switch {
			case err != nil:
				a.Error = err.Error()
			case string(x.Gateway) != a.Gateway:
				a.Error = fmt.Sprintf("%s is gateway %s", a.Addr, x.Gateway)
			default:
				a.Explanation = &x
			}
		})
	}
	wg.Wait()
}

// writeAll writes a table of the gateways, and in the last line how many decide otherwise than the asked one.
func (c *placeCommand) writeAll(first *control.Explanation, answers []placeAnswer) error {
	w := &lineWriter{w: c.env.Stdout}
	if err := writePlace(c.env.Stdout, first); err != nil {
		return err
	}
	w.line("")
	var rows [][]string
	otherwise, silent := 0, 0
	for _, a := range answers {
		x := a.Explanation
		if x == nil {
			silent++
			rows = append(rows, []string{replaceControlChars(a.Gateway), "-", "no answer", "-", replaceControlChars(a.Error)})
			continue
		}
		if !sameDecision(first, x) {
			otherwise++
		}
		shown := strings.Join(a.Differences[:min(len(a.Differences), maxShownDifferences)], "; ")
		if omitted := len(a.Differences) - maxShownDifferences; omitted > 0 {
			shown += fmt.Sprintf("; and %d more", omitted)
		}
		row := []string{string(x.Gateway), string(x.DataCentre), decisionText(x), cmp.Or(joinConditions(x.Conditions), "-"), cmp.Or(shown, "-")}
		for i := range row {
			row[i] = replaceControlChars(row[i])
		}
		rows = append(rows, row)
	}
	w.table([]string{"gateway", "data_centre", "decision", "conditions", "differences"}, rows)
	w.line("")
	w.line("%d of %d gateways decide otherwise than %s, %d gave no answer", otherwise, len(answers)-silent, first.Gateway, silent)
	return w.err
}

// sameDecision reports whether two gateways decide the same: the same endpoint, a random choice among the same endpoints, or the
// same rejection.
func sameDecision(a, b *control.Explanation) bool {
	return a.Service == b.Service && a.Decision.Endpoint == b.Decision.Endpoint && a.Decision.Random == b.Decision.Random && a.Decision.Reason == b.Decision.Reason &&
		slices.Equal(a.Drawn(), b.Drawn())
}

// differences describes what in an answer differs from the asked gateway's answer, apart from loads.
func differences(asked, x *control.Explanation) []string {
	var out []string
	if x.Revision != asked.Revision {
		out = append(out, fmt.Sprintf("revision %d, not %d", x.Revision, asked.Revision))
	}
	if x.Service != asked.Service || x.Rule != asked.Rule {
		out = append(out, fmt.Sprintf("service %q rule %s, not %q %s", x.Service, x.Rule, asked.Service, asked.Rule))
	}
	excluded := map[string]string{}
	for _, e := range asked.Endpoints {
		excluded[string(e.Endpoint)] = cmp.Or(e.Excluded, "eligible")
	}
	for _, e := range x.Endpoints {
		here, there := cmp.Or(e.Excluded, "eligible"), cmp.Or(excluded[string(e.Endpoint)], "unknown")
		if here != there {
			out = append(out, fmt.Sprintf("%s %s, not %s", e.Endpoint, here, there))
		}
		delete(excluded, string(e.Endpoint))
	}
	for _, e := range asked.Endpoints {
		if there, left := excluded[string(e.Endpoint)]; left {
			out = append(out, fmt.Sprintf("%s unknown, not %s", e.Endpoint, there))
		}
	}
	return out
}
