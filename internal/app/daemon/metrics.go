package daemon

import (
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// metrics is a scope whose values are served over HTTP.
type metrics struct {
	scope   tally.Scope
	handler http.Handler
}

const reportInterval = time.Second

func newMetrics(daemonID string) metrics {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer: registry, Gatherer: registry, DefaultTimerType: prometheus.HistogramTimerType,
		OnRegisterError: func(error) {},
	})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "pollencourse", Tags: map[string]string{"daemon": daemonID},
		CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
	}, reportInterval)
	return metrics{scope: scope, handler: reporter.HTTPHandler()}
}
