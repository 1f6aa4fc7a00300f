package gateway

import (
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/dandelionvane/dandelionvane/internal/boottime"
	"github.com/dandelionvane/dandelionvane/internal/control"
	"github.com/dandelionvane/dandelionvane/internal/crasher"
	"github.com/dandelionvane/dandelionvane/internal/fleet"
	"github.com/dandelionvane/dandelionvane/internal/ingress"
	"github.com/dandelionvane/dandelionvane/internal/origin"
)

// Limits of the queries where a request would go. A query takes one turn of the control loop, which the decisions about
// callers' requests wait for. The burst is enough for an operator who tries several variants.
const (
	placeQueriesPerSecond = 5
	placeQueryBurst       = 10
	maxPlaceDeadline      = 24 * time.Hour
)

// placeParameters are the parameters of such a query. There is none for an API key: query strings are logged by proxies.
var placeParameters = []string{"host", "path", "workspace", "service", "model", "parts", "tokens", "hint", "deadline_ms", "version"}

// placeHandler returns the handler of queries where a request would go.
func (p *process) placeHandler() http.HandlerFunc {
	limiter := rate.NewLimiter(placeQueriesPerSecond, placeQueryBurst)
	return func(w http.ResponseWriter, r *http.Request) {
		if !limiter.Allow() {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "too many queries", http.StatusTooManyRequests)
			return
		}
		req, err := parsePlaceQuery(r.URL.RawQuery)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		x, ok := p.explain(req)
		if !ok {
			http.Error(w, "the gateway is stopping", http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, x)
	}
}

// explain explains where a request would go, and reports false if the control loop has ended.
func (p *process) explain(req control.ExplainRequest) (x control.Explanation, ok bool) {
	asked := time.Now()
	p.loop.Do(func(s *control.State, now boottime.Instant) {
		waited := time.Since(asked)
		x, ok = s.Explain(now, req), true
		x.WaitedMS = waited.Milliseconds()
		if waited > tickInterval {
			x.Conditions = append(x.Conditions, control.ConditionBusy)
		}
	})
	return x, ok
}

// parsePlaceQuery returns the request that a query string describes. Errors contain no values of unknown parameters.
func parsePlaceQuery(raw string) (control.ExplainRequest, error) {
	var req control.ExplainRequest
	q, err := url.ParseQuery(raw)
	if err != nil {
		return req, errors.New("the query string is malformed")
	}
	for name, values := range q {
		if !slices.Contains(placeParameters, name) {
			return req, errors.Errorf("unknown parameter %q; there are %s", name, strings.Join(placeParameters, ", "))
		}
		if len(values) != 1 {
			return req, errors.Errorf("parameter %q is given %d times", name, len(values))
		}
	}
	req.Host, req.Path, req.Workspace = q.Get("host"), q.Get("path"), fleet.WorkspaceID(q.Get("workspace"))
	if req.Host == "" || !strings.HasPrefix(req.Path, "/") {
		return req, errors.New("host and path are needed, and path begins with a slash")
	}
	req.Placement.Service = fleet.ServiceID(q.Get("service"))
	if v := q.Get("version"); v != "" {
		req.Placement.Version = origin.VersionOf(fleet.SoftwareVersion(v))
	}
	if req.CallerTimeout, err = parseMilliseconds("deadline_ms", q.Get("deadline_ms")); err != nil {
		return req, err
	}
	if err := parseSize(q, &req); err != nil {
		return req, err
	}
	return req, parseParts(q, &req)
}

// parseMilliseconds returns a duration of at most maxPlaceDeadline, 0 if the value is empty.
func parseMilliseconds(name, v string) (time.Duration, error) {
	if v == "" {
		return 0, nil
	}
	ms, err := strconv.ParseFloat(v, 64)
	if err != nil || ms < 0 || math.IsNaN(ms) {
		return 0, errors.Errorf("%s is %q, want milliseconds", name, v)
	}
	return time.Duration(min(ms, float64(maxPlaceDeadline.Milliseconds())) * float64(time.Millisecond)), nil
}

// parseSize sets the token counts and the length hint.
func parseSize(q url.Values, req *control.ExplainRequest) error {
	prompt, output, _ := strings.Cut(q.Get("tokens"), ",")
	for _, n := range []struct {
		name, value string
		to          *int
	}{{"tokens", prompt, &req.PromptTokens}, {"tokens", output, &req.MaxOutputTokens}, {"hint", q.Get("hint"), &req.LengthHint}} {
		if n.value == "" {
			continue
		}
		v, err := strconv.Atoi(strings.TrimSpace(n.value))
		if err != nil || v < 0 {
			return errors.Errorf("%s is %q, want numbers of tokens: tokens=PROMPT,MAX_OUTPUT and hint=OUTPUT", n.name, q.Get(n.name))
		}
		*n.to = v
	}
	return nil
}

// parseParts sets what follows from the parts of the prompt and the model: the affinity, the shared tokens, and what the request
// may have in common with requests that crash endpoints.
func parseParts(q url.Values, req *control.ExplainRequest) error {
	parts, err := ingress.ParsePrompt(q.Get("parts"))
	if err != nil {
		return errors.Wrap(err, "parts has")
	}
	ids := make([]uint64, len(parts))
	for i, part := range parts {
		ids[i] = part.ID
		if i < len(parts)-1 {
			req.SharedTokens += part.Tokens
		}
	}
	req.Placement.Affinity = ingress.PromptAffinity(parts)
	req.Placement.Shares = crasher.SharesOf(req.Workspace, q.Get("model"), ids)
	return nil
}
