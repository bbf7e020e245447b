package ingress

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/route/forward"
)

// latencyBuckets are the bounds of the latency histogram.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 14)

// metricLabels are the label values under which a request is counted.
type metricLabels struct {
	kind   string
	result string
}

type requestMetrics struct {
	requests tally.Counter
	latency  tally.Histogram
}

// metricCache holds the metrics by kind of route and result, so that each tagged scope is built only once.
type metricCache struct {
	mu       sync.Mutex
	byLabels map[metricLabels]requestMetrics
}

func (c *metricCache) get(scope tally.Scope, labels metricLabels) requestMetrics {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.byLabels[labels]
	if !ok {
		s := scope.Tagged(map[string]string{"kind": labels.kind, "result": labels.result})
		m = requestMetrics{s.Counter("requests"), s.Histogram("request_latency", latencyBuckets)}
		if c.byLabels == nil {
			c.byLabels = map[metricLabels]requestMetrics{}
		}
		c.byLabels[labels] = m
	}
	return m
}

// recordResult counts a finished request and records its latency.
func (s *Server) recordResult(req *forward.Request, arrived time.Time, err error) {
	labels := metricLabels{kind: "none", result: "answered"}
	if req != nil && req.Route != nil {
		labels.kind = string(req.Route.Kind)
	}
	if err != nil {
		labels.result = string(fault.KindOf(err))
	}
	m := s.metrics.get(s.cfg.Metrics, labels)
	m.requests.Inc(1)
	m.latency.RecordDuration(time.Since(arrived))
}
