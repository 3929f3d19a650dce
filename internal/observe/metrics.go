package observe

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often counted values reach the Prometheus page.
const reportInterval = 250 * time.Millisecond

// Metrics are the counters and gauges of one process.
type Metrics struct {
	// Scope is the root scope; parts of the process make subscopes of it.
	Scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// NewMetrics makes the root scope with tags that every metric carries.
func NewMetrics(tags map[string]string) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "endivewing",
		Tags:           tags,
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
		// The library's own bookkeeping metrics are left out.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, handler: reporter.HTTPHandler(), closer: closer}
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close reports a last time and stops.
func (m *Metrics) Close() { _ = m.closer.Close() }
