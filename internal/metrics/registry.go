package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	metricPrefix   = "dandelionvane"
	nameSeparator  = "_"
	reportInterval = time.Second // maximum delay of counters and gauges
	contentType    = "text/plain; version=0.0.4; charset=utf-8"
)

// Registry holds a root scope and the metrics reported to it.
type Registry struct {
	scope    tally.Scope
	closer   io.Closer
	reporter *reporter
}

// New returns an empty registry, which reports until Close is called.
func New() *Registry {
	r := newReporter()
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 metricPrefix,
		Separator:              nameSeparator,
		CachedReporter:         r,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Registry{scope: scope, closer: closer, reporter: r}
}

// Scope returns the root scope. Tag values must come from a bounded set, as the number of series is limited.
func (r *Registry) Scope() tally.Scope { return r.scope }

// Handler returns the HTTP handler for Prometheus scrapes.
func (r *Registry) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		_, _ = w.Write(r.reporter.text())
	})
}

// Close reports the pending values of the scope and stops reporting.
func (r *Registry) Close() error { return r.closer.Close() }
