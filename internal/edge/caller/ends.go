package caller

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// metricLabels are the label values under which a request is counted.
type metricLabels struct {
	kind   string
	result string
}

// requestMetrics are the metrics of the requests with the same labels.
type requestMetrics struct {
	requests tally.Counter
	latency  tally.Timer
}

// metricCache keeps the metrics by their labels, since looking up a tagged scope is costly.
type metricCache struct {
	byLabels sync.Map
}

func (c *metricCache) get(scope tally.Scope, labels metricLabels) *requestMetrics {
	if m, ok := c.byLabels.Load(labels); ok {
		return m.(*requestMetrics)
	}
	tagged := scope.Tagged(map[string]string{"kind": labels.kind, "result": labels.result})
	m, _ := c.byLabels.LoadOrStore(labels, &requestMetrics{tagged.Counter("requests"), tagged.Timer("latency")})
	return m.(*requestMetrics)
}
