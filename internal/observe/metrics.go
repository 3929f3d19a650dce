package observe

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which counted values are copied to the
// Prometheus registry.
const reportInterval = 250 * time.Millisecond

// Metrics holds the metrics of one process.
type Metrics struct {
	// Scope is the root scope. Each role uses a subscope of it.
	Scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// NewMetrics returns metrics whose root scope adds the tags to every metric.
func NewMetrics(tags map[string]string) *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "endivewing",
		Tags:           tags,
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
		// This omits the metrics of the library about itself.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, handler: reporter.HTTPHandler(), closer: closer}
}

// Handler returns a handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close copies the last values to the registry and stops.
func (m *Metrics) Close() { _ = m.closer.Close() }
