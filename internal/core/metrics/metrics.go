package metrics

import (
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// Metrics is a tally scope and the handler that serves its values.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
}

const reportInterval = time.Second

// New returns the metrics of a daemon, with its ID as a tag on each.
func New(daemonID string) Metrics {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry, Gatherer: registry, DefaultTimerType: prometheus.HistogramTimerType,
		OnRegisterError: func(error) {},
	})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "pollencourse", Tags: map[string]string{"daemon": daemonID},
		CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
	}, reportInterval)
	return Metrics{Scope: scope, Handler: reporter.HTTPHandler()}
}
